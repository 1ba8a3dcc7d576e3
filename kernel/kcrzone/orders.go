// Package kcrzone keeps which availability zones the operator has emptied: no request is sent to
// the upstreams of such a zone until the order is taken back.
package kcrzone

import (
	"cmp"
	"slices"
	"sync"

	"kingcuprun.example/kernel/kcrid"
)

// This file defines the orders of the operator and how they are merged. An order is a keyed record
// of the operator's topic; deleting the key takes it back. They come from the store, one after the
// other or as a list, and from other routers. Invariants: an order or its taking back is replaced
// only by what is newer, whatever its source, so that all routers that have heard the same agree;
// an order that a restored store has lost stays in force until it is taken back, and one whose
// taking back it has lost does not return.

// Order is the newest order for one zone. Orders have an order of their own: that of the era, the
// offset, and whether they are taken back. It is sent to other routers as JSON under the names of
// its fields.
type Order struct {
	Zone  kcrid.Zone
	Era   uint64 // of the store; a later one is that of a store restored from an older copy
	At    int64  // offset of the record that empties the zone, carriedAt if the store has lost it
	Ended bool   // taken back
}

// carriedAt is the offset of an order of an earlier era that the store has lost.
const carriedAt = -1

// maxOrders bounds the zones that are known; orders for further ones are ignored.
const maxOrders = 1024

// newerThan reports whether an order replaces another for the same zone.
func (o Order) newerThan(other Order) bool {
	byPosition := cmp.Or(cmp.Compare(o.Era, other.Era), cmp.Compare(o.At, other.At))
	return byPosition > 0 || byPosition == 0 && o.Ended && !other.Ended
}

// Orders are the orders that a process knows. It is safe for concurrent use.
type Orders struct {
	mu     sync.Mutex
	orders map[kcrid.Zone]Order
	listed bool   // a list of the store was read
	era    uint64 // of the last list
	next   int64  // offset up to which the records of that era were read
}

// New returns orders for no zone.
func New() *Orders { return &Orders{orders: map[kcrid.Zone]Order{}} }

// Put applies the record at an offset that empties a zone. It reports whether that has changed
// which zones are emptied.
func (o *Orders) Put(era uint64, at int64, zone kcrid.Zone) (changed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	order := Order{Zone: zone, Era: era, At: at}
	known, ok := o.orders[zone]
	if ok && known.Ended && known.Era < era && known.At >= at && !o.hasListed(era) {
		order.Ended = true // a record of before the copy, whose taking back the store has lost
	}
	changed = o.apply(order)
	o.readTo(era, at+1)
	return changed
}

// TakeBack applies the record at an offset that takes back the order for a zone. It reports whether
// that has changed which zones are emptied.
func (o *Orders) TakeBack(era uint64, at int64, zone kcrid.Zone) (changed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readTo(era, at+1)
	known, ok := o.orders[zone]
	switch {
	case !ok, known.Era > era, known.Era == era && known.At > at:
		return false
	case known.Era < era:
		known.Era, known.At = era, carriedAt
	}
	known.Ended = true
	return o.apply(known)
}

// List applies that the store, when its topic ended at an offset, had orders for the listed zones
// only. Put must have been called for each of them. It returns the zones that are emptied no more.
func (o *Orders) List(era uint64, end int64, listed map[kcrid.Zone]bool) (ended []kcrid.Zone) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for zone, known := range o.orders {
		if listed[zone] || known.Era > era || known.Era == era && known.At >= end {
			continue
		}
		switch {
		case known.Era < era:
			known.Era, known.At = era, carriedAt
		case known.At != carriedAt:
			known.Ended = true
		}
		if o.apply(known) {
			ended = append(ended, zone)
		}
	}
	if !o.hasListed(era) {
		o.listed, o.era, o.next = true, era, 0
	}
	o.readTo(era, end)
	return ended
}

// Merge applies the orders that another router knows. It returns those that have changed which
// zones are emptied.
func (o *Orders) Merge(orders []Order) (changed []Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, order := range orders {
		// What the store has shown since is newer than an order that a router still knows.
		outdated := !order.Ended && o.hasListed(order.Era) && order.At != carriedAt && order.At < o.next
		if !outdated && o.apply(order) {
			changed = append(changed, order)
		}
	}
	return changed
}

// apply replaces the order for a zone if the new one is newer, and reports whether that has changed
// whether the zone is emptied.
func (o *Orders) apply(order Order) (changed bool) {
	known, ok := o.orders[order.Zone]
	if ok && !order.newerThan(known) || !ok && len(o.orders) >= maxOrders {
		return false
	}
	o.orders[order.Zone] = order
	wasEmptied := ok && !known.Ended
	return wasEmptied == order.Ended
}

// hasListed reports whether the last list was of an era.
func (o *Orders) hasListed(era uint64) bool { return o.listed && o.era == era }

// readTo records that the records of an era before an offset were read.
func (o *Orders) readTo(era uint64, next int64) {
	if o.hasListed(era) {
		o.next = max(o.next, next)
	}
}

// Known returns the newest order for each zone, sorted by zone, also those that are taken back.
func (o *Orders) Known() (orders []Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, order := range o.orders {
		orders = append(orders, order)
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Zone, b.Zone) })
	return orders
}

// IsEmptied reports whether a zone is emptied.
func (o *Orders) IsEmptied(zone kcrid.Zone) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	order, ok := o.orders[zone]
	return ok && !order.Ended
}

// Count returns how many zones are emptied.
func (o *Orders) Count() (count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, order := range o.orders {
		if !order.Ended {
			count++
		}
	}
	return count
}
