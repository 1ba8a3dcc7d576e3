package kcrstory

import (
	"encoding/json"
	"fmt"
)

// This file defines the attribute "version" of log lines, which has two types. Invariant: an
// attribute of either type decodes, so that a line is never lost for it.

// version is the attribute "version" of a line: a number in lines on configurations, text in
// lines on the software of upstreams. The field of the other type is zero.
type version struct {
	config   uint64 // of the configuration that came into force
	software string // of an upstream
}

// UnmarshalJSON decodes a number or a string.
func (v *version) UnmarshalJSON(data []byte) error {
	if json.Unmarshal(data, &v.config) == nil {
		return nil
	}
	if json.Unmarshal(data, &v.software) == nil {
		return nil
	}
	return fmt.Errorf("version: expected a number or a string, got %s", data)
}
