// Package kcrcommand defines the command bench and its subcommands: call, wait, proof
// and measure.
package kcrcommand

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"kingcuprun.example/bench/kcrcaller"
)

// Root returns the command bench with its subcommands.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:           "bench",
		Short:         "Drive a deployment, prove the invariants, measure",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(callCommand(), waitCommand(), proofCommand(), measureCommand())
	return root
}

// callCommand returns the subcommand that sends one request and prints the answer. It
// fails unless the answer is complete.
func callCommand() *cobra.Command {
	var addr, apiKey, key, method, path, model, text string
	var stream, quiet bool
	cmd := &cobra.Command{
		Use:   "call",
		Short: "Send one request to a router",
		RunE: func(cmd *cobra.Command, _ []string) error {
			c := kcrcaller.New(apiKey)
			body := []byte(text)
			if model != "" {
				path, method, body = "/v1/chat/completions", http.MethodPost, kcrcaller.ChatBody(model, text, stream)
			}
			a := c.Do(cmd.Context(), method, addr, path, key, body)
			return printAnswer(cmd, a, stream, quiet)
		},
	}
	f := cmd.Flags()
	f.StringVar(&addr, "router", "", "address of the router")
	f.StringVar(&apiKey, "api-key", "", "API key of the team")
	f.StringVar(&key, "key", "", "idempotency key")
	f.StringVar(&method, "method", http.MethodPost, "HTTP method of a plain call")
	f.StringVar(&path, "path", "", "path of a plain call")
	f.StringVar(&model, "model", "", "model of a chat request")
	f.StringVar(&text, "text", "", "message of a chat request, or body of a plain call")
	f.BoolVar(&stream, "stream", false, "ask for a stream")
	f.BoolVar(&quiet, "quiet", false, "print only the line with the result")
	return cmd
}

// printAnswer prints the body, unless quiet is set, and a line with the result.
func printAnswer(cmd *cobra.Command, a kcrcaller.Answer, stream, quiet bool) error {
	out := cmd.OutOrStdout()
	if !quiet {
		if _, err := fmt.Fprintf(out, "%s\n", a.Body); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(out, "request=%s status=%d bytes=%d whole=%v code=%s outcome=%s first=%v\n",
		a.RequestID, a.Status, len(a.Body), a.Complete(stream), a.Code, a.Outcome, a.TimeToFirstByte.Round(time.Millisecond)); err != nil {
		return err
	}
	if !a.Complete(stream) {
		return fmt.Errorf("the answer is not whole: status %d, %w", a.Status, connectionError(a.Err))
	}
	return nil
}

// connectionError returns err, or an error that says that the connection had none.
func connectionError(err error) error {
	if err != nil {
		return err
	}
	return fmt.Errorf("no connection error")
}

// waitCommand returns the subcommand that waits until processes are in a state.
func waitCommand() *cobra.Command {
	var timeout time.Duration
	var state string
	cmd := &cobra.Command{
		Use:   "wait ADMIN...",
		Short: "Wait until the processes at the admin addresses are in a state",
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			for _, admin := range args {
				if err := waitForState(ctx, admin, state); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&timeout, "limit", 15*time.Second, "time to wait")
	cmd.Flags().StringVar(&state, "state", "ready", "state to wait for: up, ready or leaving")
	return cmd
}

// waitForState polls the health of the process at an admin address until it is in a
// state. Any answer counts as the state "up".
func waitForState(ctx context.Context, admin, state string) error {
	c := kcrcaller.New("")
	var last kcrcaller.Answer
	for {
		a := c.Do(ctx, http.MethodGet, admin, "/health", "", nil)
		if a.Err == nil && (state == "up" || string(a.Body) == state) {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%s: expected state %s, got %q (%w)", admin, state, last.Body, connectionError(last.Err))
		}
		last = a
		time.Sleep(50 * time.Millisecond)
	}
}
