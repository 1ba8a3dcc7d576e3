package kcroperate

import (
	"context"
	"encoding/json"
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
)

const commandTime = 30 * time.Second

// command is the state that the subcommands share.
type command struct {
	settings string
	plans    string
	uses     string
	base     int64
}

// Command returns the operators' command.
func Command() *cobra.Command {
	c := &command{}
	root := &cobra.Command{
		Use:           "kingcuprun",
		Short:         "Operate a kingcuprun deployment",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().StringVar(&c.settings, "settings", "", "settings file of the deployment")
	root.AddCommand(c.check(), c.publish(), c.leave(), c.show(), c.explain(), day(), digest())
	return root
}

func (c *command) lists(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.plans, "plans", "plans.jsonc", "list of the plans that customers hold")
	cmd.Flags().StringVar(&c.uses, "uses", "uses.jsonc", "list of what each plan may use")
}

func (c *command) parse() (map[kcrid.Plan]kcrlist.Item, error) {
	plans, err := os.ReadFile(c.plans)
	if err != nil {
		return nil, err
	}
	uses, err := os.ReadFile(c.uses)
	if err != nil {
		return nil, err
	}
	return kcrlist.Parse(c.plans, plans, c.uses, uses)
}

func (c *command) load() (*Operator, *kcrsettings.Settings, error) {
	s, err := kcrsettings.Load(c.settings)
	if err != nil {
		return nil, nil, err
	}
	return New(kcrplatform.New(s.Log, kcrplatform.HTTPClient()).Log(), s.Buckets), s, nil
}

func (c *command) check() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check the two lists, and the settings if given",
		RunE: func(cmd *cobra.Command, _ []string) error {
			items, err := c.parse()
			if err != nil {
				return err
			}
			if c.settings != "" {
				s, err := kcrsettings.Load(c.settings)
				if err != nil {
					return err
				}
				if err := checkNames(items, s); err != nil {
					return err
				}
			}
			return say(cmd, "%d plans are well formed\n", len(items))
		},
	}
	c.lists(cmd)
	return cmd
}

// checkNames reports models and services that the deployment does not have.
func checkNames(items map[kcrid.Plan]kcrlist.Item, s *kcrsettings.Settings) error {
	for name, item := range items {
		for _, m := range item.Use.Models {
			if _, ok := s.ServiceOf(m); !ok {
				return fmt.Errorf("plan %s: expected a model of the settings, got %q", name, m)
			}
		}
		for _, sv := range item.Use.Services {
			if _, ok := s.Service(sv); !ok {
				return fmt.Errorf("plan %s: expected a service of the settings, got %q", name, sv)
			}
		}
	}
	return nil
}

func say(cmd *cobra.Command, format string, args ...any) error {
	_, err := fmt.Fprintf(cmd.OutOrStdout(), format, args...)
	return err
}

func (c *command) publish() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "publish",
		Short: "Publish the two lists in place of a version",
		RunE: func(cmd *cobra.Command, _ []string) error {
			items, err := c.parse()
			if err != nil {
				return err
			}
			o, s, err := c.load()
			if err != nil {
				return err
			}
			if err := checkNames(items, s); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), commandTime)
			defer cancel()
			version, err := o.Publish(ctx, items, kcrid.Offset(max(0, c.base)), c.base < 0)
			if err != nil {
				return err
			}
			return say(cmd, "version %d is in force\n", version)
		},
	}
	c.lists(cmd)
	cmd.Flags().Int64Var(&c.base, "replaces", -1, "version that this one replaces; -1 for the one in force")
	return cmd
}

func (c *command) leave() *cobra.Command {
	return &cobra.Command{
		Use:   "leave VM",
		Short: "Mark a VM as leaving",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o, s, err := c.load()
			if err != nil {
				return err
			}
			if _, ok := s.Upstream(kcrid.VM(args[0])); !ok {
				return fmt.Errorf("expected an upstream's VM of the settings, got %q", args[0])
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), commandTime)
			defer cancel()
			if err := o.Leave(ctx, kcrid.VM(args[0])); err != nil {
				return err
			}
			return say(cmd, "%s is marked as leaving\n", args[0])
		},
	}
}

func (c *command) show() *cobra.Command {
	return &cobra.Command{
		Use:   "show [PLAN]",
		Short: "Show the version in force, or the budget and statement of a plan",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o, _, err := c.load()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), commandTime)
			defer cancel()
			if len(args) == 0 {
				return o.showLists(ctx, cmd.OutOrStdout())
			}
			return o.showPlan(ctx, cmd.OutOrStdout(), kcrid.Plan(args[0]))
		},
	}
}

func (o *Operator) showLists(ctx context.Context, w io.Writer) error {
	s, err := o.Lists(ctx)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "version %d as of offset %d\n", s.Version(), s.At()); err != nil {
		return err
	}
	items := s.Items()
	names := make([]string, 0, len(items))
	for name := range items {
		names = append(names, string(name))
	}
	sort.Strings(names)
	for _, name := range names {
		it := items[kcrid.Plan(name)]
		if _, err := fmt.Fprintf(w, "%s team=%s models=%v services=%v rank=%d most=%d topups=%d\n",
			name, it.Plan.Team, it.Use.Models, it.Use.Services, it.Use.Rank, it.Use.Most, len(it.Plan.Topups)); err != nil {
			return err
		}
	}
	return nil
}

func (o *Operator) showPlan(ctx context.Context, w io.Writer, p kcrid.Plan) error {
	l, err := o.Ledger(ctx, p)
	if err != nil {
		return err
	}
	st, err := o.Statement(ctx, p)
	if err != nil {
		return err
	}
	a := l.Account(p)
	billed, again := st.Total()
	_, err = fmt.Fprintf(w, "plan %s prepaid=%d available=%d granted=%d settled=%d\nbilled=%d from offset %d on, again=%d\n",
		p, a.Prepaid, a.Available(), a.Allotted, a.Settled, billed, st.First(), again)
	if err != nil {
		return err
	}
	for _, it := range st.Items() {
		if _, err := fmt.Fprintf(w, "%s tokens=%d state=%s server=%s\n", it.Call.Key, it.Tokens, it.State, it.Server); err != nil {
			return err
		}
	}
	return nil
}

// explain tells what became of a request, from logs or from the processes.
func (c *command) explain() *cobra.Command {
	var logs []string
	cmd := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Show the decisions on a request, by its id: ask the processes, or read their logs",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(logs) > 0 {
				log, err := readLogs(cmd, logs)
				if err != nil {
					return err
				}
				return log.Request(cmd.OutOrStdout(), args[0])
			}
			return c.askAll(cmd, args[0])
		},
	}
	cmd.Flags().StringArrayVar(&logs, "log", nil, "file with log lines of the processes, - for standard input; may be given again")
	return cmd
}

// askAll asks every process of the deployment what it remembers of a request.
func (c *command) askAll(cmd *cobra.Command, request string) error {
	_, s, err := c.load()
	if err != nil {
		return err
	}
	found := false
	for _, p := range processes(s) {
		lines, err := ask(p.admin, request)
		if err != nil {
			continue
		}
		for _, line := range lines {
			found = true
			if err := say(cmd, "%s: %s\n", p.vm, line); err != nil {
				return err
			}
		}
	}
	if !found {
		return fmt.Errorf("no process remembers request %q", request)
	}
	return nil
}

// day sums up the logs of a day.
func day() *cobra.Command {
	return &cobra.Command{
		Use:   "day FILE...",
		Short: "Sum up log lines of the processes: how requests ended and why, the slowest, outages; - for standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			log, err := readLogs(cmd, args)
			if err != nil {
				return err
			}
			log.Day(cmd.OutOrStdout())
			return nil
		},
	}
}

// readLogs reads the files, or standard input for "-".
func readLogs(cmd *cobra.Command, files []string) (log *kcrstory.Log, err error) {
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

type process struct {
	vm    kcrid.VM
	admin string
}

func processes(s *kcrsettings.Settings) (out []process) {
	for _, r := range s.Routers {
		out = append(out, process{r.VM, r.Admin})
	}
	for _, u := range s.Upstreams {
		out = append(out, process{u.VM, u.Admin})
	}
	return out
}

func ask(admin, request string) (lines []string, err error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+admin+"/explain/"+request, 2*time.Second)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("expected status 200, got %d", status)
	}
	err = json.Unmarshal(body, &lines)
	return lines, err
}

func digest() *cobra.Command {
	return &cobra.Command{
		Use:   "digest KEY",
		Short: "Print the form of an API key that lists hold",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return say(cmd, "%s\n", kcrlist.Digest(args[0]))
		},
	}
}
