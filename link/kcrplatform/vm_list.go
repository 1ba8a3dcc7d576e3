package kcrplatform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"kingcuprun.example/kernel/kcrid"
)

// This file decodes the VM list. Invariant: an entry that can't be decoded, whatever it holds, takes
// no other entry with it.

// VMList is the body of the response to a request for the VM list. If the request names
// the current version, VMs is empty.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
	Skipped int    `json:"-"` // entries that can't be decoded
}

// VM is an entry of the VM list. Addr has the form ip:port. State is "live" or
// "leaving".
type VM struct {
	Name    kcrid.VM      `json:"name"`
	Addr    string        `json:"addr"`
	Zone    kcrid.Zone    `json:"zone"`
	Region  kcrid.Region  `json:"region"`
	Service kcrid.Service `json:"service"`
	State   string        `json:"state"`
}

// StateLeaving is the state of a VM that the platform will stop; it must get no new
// requests.
const StateLeaving = "leaving"

// decodeVMList decodes a VM list. An entry may be nested more deeply than encoding/json accepts, so
// each one is decoded by itself.
func decodeVMList(data []byte) (list VMList, err error) {
	fields, err := splitValue(data, '{')
	if err != nil {
		return list, err
	}
	for _, field := range fields {
		name, value, _ := bytes.Cut(field, []byte(":"))
		switch string(bytes.TrimSpace(name)) {
		case `"version"`:
			if err := json.Unmarshal(value, &list.Version); err != nil {
				return list, fmt.Errorf("version: %w", err)
			}
		case `"vms"`:
			if err := list.decodeEntries(value); err != nil {
				return list, fmt.Errorf("vms: %w", err)
			}
		}
	}
	return list, nil
}

// decodeEntries decodes the entries of a list, and skips those that can't be decoded.
func (l *VMList) decodeEntries(data []byte) error {
	if string(bytes.TrimSpace(data)) == "null" {
		return nil
	}
	entries, err := splitValue(data, '[')
	if err != nil {
		return err
	}
	for _, entry := range entries {
		var vm VM
		if err := json.Unmarshal(entry, &vm); err != nil || vm.Name == "" || !isAddress(vm.Addr) {
			l.Skipped++
			continue
		}
		l.VMs = append(l.VMs, vm)
	}
	return nil
}

// isAddress reports whether a text has the form ip:port.
func isAddress(text string) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && addr.Port() > 0
}

// splitValue returns the members of an object or the elements of an array, which begins with open.
// It takes no notice of what is in them.
func splitValue(data []byte, open byte) (parts [][]byte, err error) {
	data = bytes.TrimSpace(data)
	if len(data) < 2 || data[0] != open || data[len(data)-1] != open+2 {
		return nil, fmt.Errorf("expected a value in %c%c, got %.20q", open, open+2, data)
	}
	data = data[1 : len(data)-1]
	if len(bytes.TrimSpace(data)) == 0 {
		return nil, nil
	}
	var s scanner
	start := 0
	for i, c := range data {
		if s.next(c); c == ',' && s == (scanner{}) {
			parts, start = append(parts, data[start:i]), i+1
		}
	}
	if s != (scanner{}) {
		return nil, errors.New("expected brackets and quotes in pairs")
	}
	return append(parts, data[start:]), nil
}

// scanner tells where in a value a byte is. It is the zero value outside all strings and brackets.
type scanner struct {
	depth     int // open brackets
	inString  bool
	isEscaped bool // a backslash is before the next byte of a string
}

// next takes the next byte.
func (s *scanner) next(c byte) {
	switch {
	case s.isEscaped:
		s.isEscaped = false
	case s.inString && c == '\\':
		s.isEscaped = true
	case c == '"':
		s.inString = !s.inString
	case s.inString:
	case c == '[' || c == '{':
		s.depth++
	case c == ']' || c == '}':
		s.depth--
	}
}
