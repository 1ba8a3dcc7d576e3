package kcrplatform

import (
	"strings"
	"testing"
)

// TestOddEntriesAreSkipped checks that an odd entry takes no other one with it.
func TestOddEntriesAreSkipped(t *testing.T) {
	t.Parallel()
	const sound = `{"name":"a","addr":"10.0.0.1:80","zone":"z\"]},[{","state":"live","new":[{"x":1}]}`
	for _, odd := range []string{
		strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
		`{"name":"b","addr":"10.0.0.2:80","x":` + strings.Repeat(`{"y":`, 20000) + "1" + strings.Repeat("}", 20001),
		`{"name":7,"addr":"10.0.0.2:80"}`, `{"name":"b","addr":80}`, `{"name":"b","addr":"10.0.0.2:65536"}`, `{"name":"b","addr":"10.0.0.2:0"}`,
		`{"name":"b","addr":"10.0.0.2:99999999999999999999"}`, `{"addr":"10.0.0.2:80"}`, `{"name":"b"}`, `7`, `1e999`, `null`, `"b"`, `{"name"}`, ``,
	} {
		list, err := decodeVMList([]byte(`{"version": 3, "vms": [` + sound + "," + odd + ",\n" + sound + `], "new": {}}`))
		if err != nil || list.Version != 3 || len(list.VMs) != 2 || list.Skipped != 1 || list.VMs[1].Zone != `z"]},[{` {
			t.Errorf("%.60q: expected two entries of version 3, got %+v, %v", odd, list, err)
		}
	}
	for text, count := range map[string]int{`{"version":1,"vms":[]}`: 0, `{"version":1,"vms":null}`: 0, `{"version":1}`: 0, `{"vms":[` + sound + `],"version":1}`: 1, `{}`: 0} {
		if list, err := decodeVMList([]byte(text)); err != nil || len(list.VMs) != count || list.Skipped != 0 {
			t.Errorf("%s: expected %d entries, got %+v, %v", text, count, list, err)
		}
	}
	for _, text := range []string{``, `[]`, `{`, `{"vms":{}}`, `{"vms":[}`, `{"vms":["]}`, `{"version":"x"}`} {
		if list, err := decodeVMList([]byte(text)); err == nil {
			t.Errorf("%q: expected an error, got %+v", text, list)
		}
	}
}
