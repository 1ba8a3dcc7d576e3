package kcrnode

import (
	"testing"

	"kingcuprun.example/kernel/kcrfleet"
	"kingcuprun.example/kernel/kcrid"
)

// TestShutVersions checks which requests only upstreams in emptied zones could serve: a stream goes
// on only at the version that began it.
func TestShutVersions(t *testing.T) {
	t.Parallel()
	member := func(service kcrid.Service, version string) kcrfleet.Member {
		return kcrfleet.Member{Service: service, Version: version}
	}
	d := newZoneDesk()
	d.update([]kcrfleet.Member{member("llm", "v1"), member("llm", "v2"), member("app", "v1")}, []kcrfleet.Member{member("llm", "v2")})
	for o, want := range map[offer]bool{
		{"llm", ""}: false, {"llm", "v1"}: true, {"llm", "v2"}: false, {"llm", "v3"}: false,
		{"app", ""}: true, {"app", "v1"}: true, {"other", ""}: false,
	} {
		if got := d.isShut(o.service, o.version); got != want {
			t.Errorf("service %q, version %q: expected %v, got %v", o.service, o.version, want, got)
		}
	}
	d.update(nil, []kcrfleet.Member{member("llm", "v1")})
	if d.isShut("app", "") {
		t.Error("expected nothing shut while no zone is emptied")
	}
}
