// Package kcrid defines the types of identifiers and units that all packages share,
// the names of the streams, and the hashes that assign plans to buckets and items to
// candidates. The zero value of an identifier means "none".
package kcrid

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Identifiers.
type (
	// Team is a customer of the operator.
	Team string
	// Plan is a prepaid budget of a team.
	Plan string
	// Model is the name of a language model.
	Model string
	// Service is a group of interchangeable upstreams.
	Service string
	// VM is a virtual machine of the platform. Names of VMs are never reused.
	VM string
	// Zone is an availability zone.
	Zone string
	// Region is a group of availability zones.
	Region string
	// IdempotencyKey is the idempotency key of a request, unique within its team.
	IdempotencyKey string
	// Incarnation is one run of a process. A restarted process has a new one.
	Incarnation string
	// Stream is the name of a stream of the platform's log.
	Stream string
)

// Offset is the position of a record in its stream. The first record has offset 1.
// The offset of a record that grants something also serves as the fencing token of
// the grant.
type Offset uint64

// Tokens is a number of language model tokens.
type Tokens int64

// ContentHash is a hash that identifies what a request contains; see HashContent.
type ContentHash uint64

// Bucket is a partition of the plans. Each bucket has its own budget and bill
// streams.
type Bucket uint32

// IncarnationOf returns the incarnation of one run of a process on a VM.
func IncarnationOf(vm VM, run string) Incarnation { return Incarnation(string(vm) + "/" + run) }

// VM returns the VM on which the process runs: the part before the first slash, or
// the whole text if it has none.
func (i Incarnation) VM() VM {
	vm, _, _ := strings.Cut(string(i), "/")
	return VM(vm)
}

// Run returns the name of the run: the part after the first slash, "" if there is none.
func (i Incarnation) Run() string {
	_, run, _ := strings.Cut(string(i), "/")
	return run
}

// CallID identifies a request across all processes.
type CallID struct {
	Team Team
	Key  IdempotencyKey
}

// BucketOf returns the bucket of a plan if there are count buckets. It panics if
// count is zero.
func BucketOf(p Plan, count uint32) Bucket {
	return Bucket(xxhash.Sum64String(string(p)) % uint64(count))
}

// BudgetStream returns the stream of the budget records of a bucket.
func BudgetStream(b Bucket) Stream {
	return Stream(budgetPrefix + strconv.FormatUint(uint64(b), 10))
}

// budgetPrefix starts the names of budget streams.
const budgetPrefix = "budget-"

// KeepsRecords reports whether each record of a stream is needed until a snapshot covers it, however
// long no process runs.
func KeepsRecords(s Stream) bool {
	return strings.HasPrefix(string(s), budgetPrefix) && !strings.HasSuffix(string(s), snapshotSuffix)
}

// BillStream returns the stream of the statement lines of a bucket.
func BillStream(b Bucket) Stream {
	return Stream("bill-" + strconv.FormatUint(uint64(b), 10))
}

// IntentStream returns the stream of the claims, bars and answers of the
// non-idempotent calls to a service.
func IntentStream(s Service) Stream { return Stream("intent-" + string(s)) }

// PeerStream is the stream of the records that routers exchange; see package
// kcrpeer.
const PeerStream Stream = "routers"

// FleetStream is the stream on which a few routers tell the others how the list of
// upstreams has changed; see package kcrfleet.
const FleetStream Stream = "fleet"

// ConfigStream is the stream of the publications of the two configuration lists,
// of the VMs that are leaving, and of contents suspected of crashing upstreams.
const ConfigStream Stream = "config"

// SnapshotStream returns the stream of the snapshots of the state that results from
// stream s.
func SnapshotStream(s Stream) Stream { return s + snapshotSuffix }

const snapshotSuffix = ".snap"

// HashContent returns the hash of the path and body of a request. The body may come in parts.
func HashContent(path string, body ...[]byte) ContentHash {
	h := xxhash.New()
	_, _ = h.WriteString(path)
	_, _ = h.Write([]byte{0})
	for _, part := range body {
		_, _ = h.Write(part)
	}
	return ContentHash(h.Sum64())
}

// RendezvousWeight returns the weight of a candidate for an item in rendezvous hashing. The
// candidate with the highest weight gets the item, so that removing a candidate
// moves only the items that it had.
func RendezvousWeight(item string, candidate string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(item)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(candidate)
	return h.Sum64()
}
