package kcrsettings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestSettings checks the errors of invalid settings.
func TestSettings(t *testing.T) {
	t.Parallel()
	datadriven.RunTest(t, "testdata/settings", func(_ *testing.T, d *datadriven.TestData) string {
		if _, err := Parse("settings.jsonc", []byte(d.Input)); err != nil {
			return err.Error() + "\n"
		}
		return "ok\n"
	})
}

// TestDeployments checks that the settings of both deployments are valid and that each
// has the expected number of zones and of upstreams per kind.
func TestDeployments(t *testing.T) {
	t.Parallel()
	tests := []struct {
		file                   string
		zones, engines, plains int
	}{
		{"welkomkring.jsonc", 3, 18, 3},
		{"turnos.jsonc", 4, 18, 4},
	}
	for _, test := range tests {
		s, err := Load(filepath.Join("..", "..", "deploy", test.file))
		if err != nil {
			t.Error(err)
			continue
		}
		upstreams := map[Kind]int{}
		for _, u := range s.Upstreams {
			service, _ := s.Service(u.Service)
			upstreams[service.Kind]++
		}
		if len(s.Zones) != test.zones || upstreams[KindEngine] != test.engines || upstreams[KindPlain] != test.plains {
			t.Errorf("%s: expected %d zones, %d engines, %d plain, got %d, %v", test.file, test.zones, test.engines, test.plains, len(s.Zones), upstreams)
		}
	}
}

// FuzzSettings checks that no input makes Parse panic.
func FuzzSettings(f *testing.F) {
	src, err := os.ReadFile(filepath.Join("..", "..", "deploy", "demo.jsonc"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(src)
	f.Add([]byte(`{"region": 5}`))
	f.Fuzz(func(_ *testing.T, src []byte) {
		_, _ = Parse("settings", src)
	})
}
