package kcrstory_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"kingcuprun.example/kingcuprun/kcrstory"
)

// TestStories tells stories of the log lines of the "log" command before them.
func TestStories(t *testing.T) {
	t.Parallel()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var log *kcrstory.Log
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			switch d.Cmd {
			case "log":
				var err error
				if log, err = kcrstory.Read(strings.NewReader(d.Input)); err != nil {
					t.Fatal(err)
				}
			case "request":
				if err := log.Request(&out, strings.TrimSpace(d.Input)); err != nil {
					return err.Error() + "\n"
				}
			case "day":
				log.Day(&out)
			}
			return out.String()
		})
	})
}
