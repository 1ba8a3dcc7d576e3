package kcrmemory

// This file divides the memory and the descriptors of a machine.

// Machine is what a process may use.
type Machine struct {
	Memory      int64 // bytes, 0 if unknown
	Descriptors int   // sockets and pipes, 0 if unknown
}

// Values of a machine that are assumed where they are unknown.
const (
	assumedMemory      = 1 << 30
	assumedDescriptors = 1 << 16
)

// Parts of the memory, as divisors.
const (
	connectionsDivisor = 4
	headsDivisor       = 16
	bodiesDivisor      = 5
	answersDivisor     = 14
	streamsDivisor     = 8
	messagesDivisor    = 10
	maxAnswers         = 8 << 20 // bytes
	// connectionBytes is the memory of a connection without a request, in bytes.
	connectionBytes = 24 << 10
	// headBytes is the memory of a head that is not complete, in bytes.
	headBytes = 40 << 10
)

// Percentages of the descriptors. The rest is for the store, for listeners and for calls of other
// processes.
const (
	callersPercent   = 40
	upstreamsPercent = 40
	peersPercent     = 9
	homePercent      = 80 // at a process that serves no callers
	checksPercent    = 2
)

// known returns the machine with assumed values for those that are unknown.
func (m Machine) known() Machine {
	if m.Memory <= 0 {
		m.Memory = assumedMemory
	}
	if m.Descriptors <= 0 {
		m.Descriptors = assumedDescriptors
	}
	return m
}

// connections returns a percentage of the descriptors, at least one.
func (m Machine) connections(percent int) int { return max(1, m.Descriptors*percent/100) }

// Callers returns the limits of a router's connections to callers.
func (m Machine) Callers() Limits {
	m = m.known()
	l := Limits{
		Connections: int(min(int64(m.connections(callersPercent)), m.Memory/connectionsDivisor/connectionBytes)),
		Heads:       int(m.Memory / headsDivisor / headBytes),
	}
	l.Bytes[Bodies] = m.Memory / bodiesDivisor
	l.Bytes[Answers] = min(maxAnswers, m.Memory/answersDivisor)
	l.Bytes[Streams] = m.Memory / streamsDivisor
	return l
}

// Upstreams returns the most connections to upstreams.
func (m Machine) Upstreams() int { return m.known().connections(upstreamsPercent) }

// Peers returns the limits of connections of other processes to a router.
func (m Machine) Peers() Limits { return m.sessions(peersPercent) }

// Home returns the limits of connections of routers to a home.
func (m Machine) Home() Limits { return m.sessions(homePercent) }

func (m Machine) sessions(percent int) Limits {
	m = m.known()
	l := Limits{Connections: m.connections(percent), Heads: m.Descriptors}
	l.Bytes[Messages] = m.Memory / messagesDivisor
	return l
}

// Checks returns the limits of connections for health checks, or for metrics.
func (m Machine) Checks() Limits {
	m = m.known()
	return Limits{Connections: m.connections(checksPercent), Heads: m.Descriptors}
}
