// Package kcrid defines the named types for identifiers and units that the
// other packages share. The zero value of an identifier means "none".
package kcrid

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Names of the things that a request touches.
type (
	// Team is a customer of the operator.
	Team string
	// Plan is a prepaid budget of a team.
	Plan string
	// Model is a model that an engine serves.
	Model string
	// Service is a group of upstreams that do the same work.
	Service string
	// VM is a virtual machine of the platform. Names are not reused.
	VM string
	// Zone is an availability zone.
	Zone string
	// Region is a group of availability zones.
	Region string
	// Key is the idempotency key of a request within its team.
	Key string
	// Incarnation is one run of a process; a restart makes a new one.
	Incarnation string
	// Stream is a stream of the platform's log.
	Stream string
)

// Offset is the position of a record in its stream. The first is 1.
// It doubles as the fencing number of whatever the record grants.
type Offset uint64

// Tokens is an amount of model tokens.
type Tokens int64

// Content is a hash of the body of a request.
type Content uint64

// Bucket is a part of the budgets or intents that has a stream of its own.
type Bucket uint32

// IncarnationOf names one run of a process on a VM.
func IncarnationOf(vm VM, run string) Incarnation { return Incarnation(string(vm) + "/" + run) }

// VM returns the VM of an incarnation that IncarnationOf named, else the whole
// name.
func (i Incarnation) VM() VM {
	vm, _, _ := strings.Cut(string(i), "/")
	return VM(vm)
}

// Call names a request within the fleet.
type Call struct {
	Team Team
	Key  Key
}

// BucketOf returns the bucket of a plan among n. It panics if n is zero.
func BucketOf(p Plan, n uint32) Bucket {
	return Bucket(xxhash.Sum64String(string(p)) % uint64(n))
}

// BudgetStream returns the stream that holds the budgets of a bucket.
func BudgetStream(b Bucket) Stream {
	return Stream("budget-" + strconv.FormatUint(uint64(b), 10))
}

// BillStream returns the stream that holds the statement lines of a bucket.
func BillStream(b Bucket) Stream {
	return Stream("bill-" + strconv.FormatUint(uint64(b), 10))
}

// IntentStream returns the stream that holds the intents of a service.
func IntentStream(s Service) Stream { return Stream("intent-" + string(s)) }

// PeerStream holds what routers tell each other.
const PeerStream Stream = "routers"

// ConfigStream holds the two lists, leaving marks and suspect contents.
const ConfigStream Stream = "config"

// SnapStream returns the stream that holds the snapshots of another.
func SnapStream(s Stream) Stream { return s + ".snap" }

// ContentOf hashes the body of a request for a path.
func ContentOf(path string, body []byte) Content {
	h := xxhash.New()
	_, _ = h.WriteString(path)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return Content(h.Sum64())
}

// Ranked orders candidates for an item by rendezvous hashing: the best weight
// wins, and the loss of a candidate moves only the items that it held.
func Ranked(item string, name string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(item)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(name)
	return h.Sum64()
}
