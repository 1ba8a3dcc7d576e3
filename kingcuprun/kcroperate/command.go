package kcroperate

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlist"
	"kingcuprun.example/kingcuprun/kcrstory"
	"kingcuprun.example/link/kcrplatform"
	"kingcuprun.example/link/kcrsettings"
	"kingcuprun.example/platform/kcrboot"
	"kingcuprun.example/platform/kcrvet"
)

// This file defines the subcommands of the operators' command. They print results on
// standard output and return errors to the caller. The lists that they take are two
// files: the plans that customers hold, and the models and services that each plan may
// use.

// commandTimeout bounds a subcommand that reads or appends to the log.
const commandTimeout = 30 * time.Second

// cli holds the values of the flags that several subcommands share.
type cli struct {
	settingsFile   string
	plansFile      string
	allowancesFile string
	baseVersion    int64 // version that a publication replaces, -1 for the one in force
}

// Command returns the operators' command with all its subcommands.
func Command() *cobra.Command {
	c := &cli{}
	root := &cobra.Command{
		Use:           "kingcuprun",
		Short:         "Operate a kingcuprun deployment",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().StringVar(&c.settingsFile, "settings", "", "settings file of the deployment; for a check on the platform, that of a router")
	root.AddCommand(c.checkCommand(), c.publishCommand(), c.leaveCommand(), c.showCommand(), c.explainCommand(), dayCommand(), digestCommand())
	return root
}

// addListFlags adds the flags that name the files of the two lists.
func (c *cli) addListFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.plansFile, "plans", "plans.jsonc", "list of the plans that customers hold")
	cmd.Flags().StringVar(&c.allowancesFile, "uses", "uses.jsonc", "list of what each plan may use")
}

// parseLists reads and parses the files of the two lists. It returns the configurations by
// plan.
func (c *cli) parseLists() (map[kcrid.Plan]kcrlist.PlanConfig, error) {
	plans, err := os.ReadFile(c.plansFile)
	if err != nil {
		return nil, err
	}
	allowances, err := os.ReadFile(c.allowancesFile)
	if err != nil {
		return nil, err
	}
	return kcrlist.Parse(c.plansFile, plans, c.allowancesFile, allowances)
}

// newOperator loads the settings and returns an operator on the log that they name.
func (c *cli) newOperator() (*Operator, *kcrsettings.Settings, error) {
	settings, err := kcrsettings.Load(c.settingsFile)
	if err != nil {
		return nil, nil, err
	}
	return New(kcrplatform.NewClient(settings.LogAddr, kcrplatform.NewHTTPClient()).Log(), settings.Buckets), settings, nil
}

// checkCommand returns the subcommand that checks the lists without publishing them, or a
// configuration of the users' platform before it is sent.
func (c *cli) checkCommand() *cobra.Command {
	var flags kcrvet.Flags
	cmd := &cobra.Command{
		Use:   "check [CONFIG]",
		Short: "Check the two lists, and the settings if given, or a configuration of the platform",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				flags.Settings = cmp.Or(c.settingsFile, os.Getenv(kcrboot.PathVariable))
				return flags.Run(cmd, args[0])
			}
			if flags.Against != "" {
				return errors.New("flag --against: expected a configuration to compare with it, got none")
			}
			configs, err := c.parseLists()
			if err != nil {
				return err
			}
			if c.settingsFile != "" {
				settings, err := kcrsettings.Load(c.settingsFile)
				if err != nil {
					return err
				}
				if err := checkNames(configs, settings); err != nil {
					return err
				}
			}
			return printf(cmd, "%d plans are well formed\n", len(configs))
		},
	}
	c.addListFlags(cmd)
	flags.Register(cmd)
	return cmd
}

// checkNames returns an error if a plan may use a model or a service that the
// settings do not define.
func checkNames(configs map[kcrid.Plan]kcrlist.PlanConfig, settings *kcrsettings.Settings) error {
	for plan, config := range configs {
		for _, model := range config.Allowance.Models {
			if _, ok := settings.ServiceOfModel(model); !ok {
				return fmt.Errorf("plan %s: model %q is not defined in the settings", plan, model)
			}
		}
		for _, service := range config.Allowance.Services {
			if _, ok := settings.Service(service); !ok {
				return fmt.Errorf("plan %s: service %q is not defined in the settings", plan, service)
			}
		}
	}
	return nil
}

// printf prints to the output of the command.
func printf(cmd *cobra.Command, format string, args ...any) error {
	_, err := fmt.Fprintf(cmd.OutOrStdout(), format, args...)
	return err
}

// publishCommand returns the subcommand that publishes the lists.
func (c *cli) publishCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "publish",
		Short: "Publish the two lists in place of a version",
		RunE: func(cmd *cobra.Command, _ []string) error {
			configs, err := c.parseLists()
			if err != nil {
				return err
			}
			operator, settings, err := c.newOperator()
			if err != nil {
				return err
			}
			if err := checkNames(configs, settings); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), commandTimeout)
			defer cancel()
			version, err := operator.Publish(ctx, configs, kcrid.Offset(max(0, c.baseVersion)), c.baseVersion < 0)
			if err != nil {
				return err
			}
			return printf(cmd, "version %d is in force\n", version)
		},
	}
	c.addListFlags(cmd)
	cmd.Flags().Int64Var(&c.baseVersion, "replaces", -1, "version that this one replaces; -1 for the one in force")
	return cmd
}

// leaveCommand returns the subcommand that marks a VM as leaving.
func (c *cli) leaveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "leave VM",
		Short: "Mark a VM as leaving",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			operator, settings, err := c.newOperator()
			if err != nil {
				return err
			}
			if _, ok := settings.Upstream(kcrid.VM(args[0])); !ok {
				return fmt.Errorf("the settings list no upstream on VM %q", args[0])
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), commandTimeout)
			defer cancel()
			if err := operator.MarkLeaving(ctx, kcrid.VM(args[0])); err != nil {
				return err
			}
			return printf(cmd, "%s is marked as leaving\n", args[0])
		},
	}
}

// showCommand returns the subcommand that shows the configuration, or a plan's budget.
func (c *cli) showCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show [PLAN]",
		Short: "Show the version in force, or the budget and statement of a plan",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			operator, _, err := c.newOperator()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), commandTimeout)
			defer cancel()
			if len(args) == 0 {
				return operator.showConfiguration(ctx, cmd.OutOrStdout())
			}
			return operator.showPlan(ctx, cmd.OutOrStdout(), kcrid.Plan(args[0]))
		},
	}
}

// showConfiguration prints the configuration in force, one line for each plan, sorted
// by name.
func (o *Operator) showConfiguration(ctx context.Context, w io.Writer) error {
	state, err := o.Configuration(ctx)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "version %d as of offset %d\n", state.Version(), state.At()); err != nil {
		return err
	}
	configs := state.PlanConfigs()
	names := make([]string, 0, len(configs))
	for name := range configs {
		names = append(names, string(name))
	}
	sort.Strings(names)
	for _, name := range names {
		config := configs[kcrid.Plan(name)]
		if _, err := fmt.Fprintf(w, "%s team=%s models=%v services=%v rank=%d most=%d topups=%d\n",
			name, config.Plan.Team, config.Allowance.Models, config.Allowance.Services, config.Allowance.Priority, config.Allowance.MaxAnswerTokens, len(config.Plan.TopUps)); err != nil {
			return err
		}
	}
	return nil
}

// showPlan prints the budget of a plan and its retained statement, one line for each
// billed request.
func (o *Operator) showPlan(ctx context.Context, w io.Writer, plan kcrid.Plan) error {
	ledger, err := o.Ledger(ctx, plan)
	if err != nil {
		return err
	}
	statement, err := o.Statement(ctx, plan)
	if err != nil {
		return err
	}
	account := ledger.Account(plan)
	billed, rerunTokens := statement.Total()
	_, err = fmt.Fprintf(w, "plan %s prepaid=%d available=%d granted=%d settled=%d\nbilled=%d from offset %d on, again=%d\n",
		plan, account.Prepaid, account.Available(), account.Granted, account.Settled, billed, statement.FirstOffset(), rerunTokens)
	if err != nil {
		return err
	}
	for _, item := range statement.Items() {
		if _, err := fmt.Fprintf(w, "%s tokens=%d state=%s server=%s\n", item.Call.Key, item.Tokens, item.Outcome, item.Server); err != nil {
			return err
		}
	}
	return nil
}

// explainCommand returns the subcommand that prints the decisions on a request. It
// reads them from log files, or asks the processes of the deployment.
func (c *cli) explainCommand() *cobra.Command {
	var logFiles []string
	cmd := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Show the decisions on a request, by its id: ask the processes, or read their logs",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(logFiles) > 0 {
				logs, err := readLogs(cmd, logFiles)
				if err != nil {
					return err
				}
				return logs.PrintRequest(cmd.OutOrStdout(), args[0])
			}
			return c.explainFromProcesses(cmd, args[0])
		},
	}
	cmd.Flags().StringArrayVar(&logFiles, "log", nil, "file with log lines of the processes, - for standard input; may be given again")
	return cmd
}

// explainFromProcesses asks every process of the deployment for its log lines on a
// request and prints them. It skips processes that give no valid response.
func (c *cli) explainFromProcesses(cmd *cobra.Command, request string) error {
	_, settings, err := c.newOperator()
	if err != nil {
		return err
	}
	found := false
	for _, p := range processesOf(settings) {
		lines, err := fetchExplanation(p.adminAddr, request)
		if err != nil {
			continue
		}
		for _, line := range lines {
			found = true
			if err := printf(cmd, "%s: %s\n", p.vm, line); err != nil {
				return err
			}
		}
	}
	if !found {
		return fmt.Errorf("no process that responded has log lines of request %q", request)
	}
	return nil
}

// dayCommand returns the subcommand that prints a summary of log files.
func dayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "day FILE...",
		Short: "Sum up log lines of the processes: how requests ended and why, the slowest, outages; - for standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			logs, err := readLogs(cmd, args)
			if err != nil {
				return err
			}
			logs.PrintSummary(cmd.OutOrStdout())
			return nil
		},
	}
}

// readLogs reads log lines from files. The name "-" stands for standard input.
func readLogs(cmd *cobra.Command, files []string) (logs *kcrstory.ProcessLogs, err error) {
	var inputs []io.Reader
	for _, name := range files {
		if name == "-" {
			inputs = append(inputs, cmd.InOrStdin())
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		inputs = append(inputs, f)
	}
	return kcrstory.Read(inputs...)
}

// process is a router or sidecar of the deployment and the address of its admin
// server.
type process struct {
	vm        kcrid.VM
	adminAddr string
}

// processesOf returns the routers and the sidecars of the settings.
func processesOf(settings *kcrsettings.Settings) (processes []process) {
	for _, router := range settings.Routers {
		processes = append(processes, process{router.VM, router.Admin})
	}
	for _, upstream := range settings.Upstreams {
		processes = append(processes, process{upstream.VM, upstream.Admin})
	}
	return processes
}

// fetchExplanation returns the log lines on a request that the process at an admin
// address holds.
func fetchExplanation(adminAddr, request string) (lines []string, err error) {
	status, body, err := kcrplatform.NewHTTPClient().GetTimeout(nil, "http://"+adminAddr+"/explain/"+request, 2*time.Second)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("expected status 200, got %d", status)
	}
	err = json.Unmarshal(body, &lines)
	return lines, err
}

// digestCommand returns the subcommand that prints the digest of an API key, the form
// in which lists hold keys.
func digestCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "digest KEY",
		Short: "Print the form of an API key that lists hold",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return printf(cmd, "%s\n", kcrlist.APIKeyDigest(args[0]))
		},
	}
}
