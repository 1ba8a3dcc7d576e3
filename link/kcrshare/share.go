// Package kcrshare encodes the load of upstreams, see package kcrload, in messages between
// processes.
package kcrshare

import (
	"fmt"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrload"
	"kingcuprun.example/link/kcrwire"
)

// This file defines the encoding. Invariant: what is decoded has no negative number, and none
// that is too large to be added up.

// tokenUnit is the number of tokens in which messages count. Amounts are rounded up.
const tokenUnit kcrid.Tokens = 256

// maxNumber bounds the numbers of a message.
const maxNumber = 1 << 24

// Encode encodes the load of upstreams.
func Encode(servers []kcrload.Server) *kcrwire.Loads {
	m := &kcrwire.Loads{}
	for _, s := range servers {
		m.Servers = append(m.Servers, uint32(s.Key))
		m.Running = append(m.Running, bound(int64(s.Running)))
		m.Waiting = append(m.Waiting, bound(int64(s.Waiting)))
		m.Unread = append(m.Unread, units(s.Unread))
		m.Memory = append(m.Memory, units(s.Memory))
	}
	return m
}

// units returns a number of tokens in units.
func units(t kcrid.Tokens) uint32 { return bound(int64((t + tokenUnit - 1) / tokenUnit)) }

// bound returns a number between 0 and maxNumber.
func bound(n int64) uint32 { return uint32(max(0, min(n, maxNumber))) }

// Decode decodes the load of upstreams.
func Decode(m *kcrwire.Loads) (servers []kcrload.Server, err error) {
	count := len(m.GetServers())
	for _, field := range [][]uint32{m.GetRunning(), m.GetWaiting(), m.GetUnread(), m.GetMemory()} {
		if len(field) != count {
			return nil, fmt.Errorf("loads: expected %d numbers, got %d", count, len(field))
		}
	}
	servers = make([]kcrload.Server, count)
	for i, key := range m.GetServers() {
		servers[i] = kcrload.Server{Key: kcrload.Key(key), Load: kcrload.Load{
			Running: int(min(m.GetRunning()[i], maxNumber)), Waiting: int(min(m.GetWaiting()[i], maxNumber)),
			Unread: kcrid.Tokens(min(m.GetUnread()[i], maxNumber)) * tokenUnit, Memory: kcrid.Tokens(min(m.GetMemory()[i], maxNumber)) * tokenUnit,
		}}
	}
	return servers, nil
}

// EncodeDigest encodes the reply of a collector.
func EncodeDigest(d kcrload.Digest) *kcrwire.Shared {
	return &kcrwire.Shared{Routers: bound(int64(d.Routers)), Age: bound(int64(d.Age)), Loads: Encode(d.Servers)}
}

// DecodeDigest decodes the reply of a collector.
func DecodeDigest(m *kcrwire.Shared) (d kcrload.Digest, err error) {
	servers, err := Decode(m.GetLoads())
	if err != nil {
		return d, err
	}
	return kcrload.Digest{Servers: servers, Routers: int(m.GetRouters()), Age: kcrclock.Duration(m.GetAge())}, nil
}

// EncodePart encodes what a router tells a collector.
func EncodePart(p kcrload.Part) *kcrwire.Share {
	return &kcrwire.Share{From: string(p.From), Seq: p.Sequence, Life: bound(int64(p.Lifetime)), Loads: Encode(p.Servers)}
}

// DecodePart decodes what a router tells a collector.
func DecodePart(m *kcrwire.Share) (p kcrload.Part, err error) {
	servers, err := Decode(m.GetLoads())
	if err != nil {
		return p, err
	}
	return kcrload.Part{
		From: kcrid.Incarnation(m.GetFrom()), Sequence: m.GetSeq(), Routers: 1, Servers: servers, Lifetime: min(maxLifetime, kcrclock.Duration(m.GetLife())),
	}, nil
}

// maxLifetime bounds how long what a router tells counts.
const maxLifetime = 10 * kcrclock.Second
