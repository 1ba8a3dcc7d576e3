package kcrstory_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"kingcuprun.example/kingcuprun/kcrstory"
)

// TestReports checks the reports on single requests and on whole logs against the files in
// testdata. The directive "log" reads the lines that the directives "request" and "day"
// after it report on.
func TestReports(t *testing.T) {
	t.Parallel()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var logs *kcrstory.ProcessLogs
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var report strings.Builder
			switch d.Cmd {
			case "log":
				var err error
				if logs, err = kcrstory.Read(strings.NewReader(d.Input)); err != nil {
					t.Fatal(err)
				}
			case "request":
				if err := logs.PrintRequest(&report, strings.TrimSpace(d.Input)); err != nil {
					return err.Error() + "\n"
				}
			case "day":
				logs.PrintSummary(&report)
			}
			return report.String()
		})
	})
}
