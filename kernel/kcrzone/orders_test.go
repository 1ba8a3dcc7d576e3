package kcrzone_test

import (
	"math/rand/v2"
	"testing"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrzone"
)

// step is a record or a list of the store that a router reads, or orders of a peer.
type step func(o *kcrzone.Orders)

func put(era uint64, at int64) step { return func(o *kcrzone.Orders) { o.Put(era, at, "z") } }

func takeBack(era uint64, at int64) step {
	return func(o *kcrzone.Orders) { o.TakeBack(era, at, "z") }
}

// list is a list at the end offset, with the record at an offset that empties the zone, none if it
// is negative.
func list(era uint64, end, at int64) step {
	return func(o *kcrzone.Orders) {
		listed := map[kcrid.Zone]bool{}
		if at >= 0 {
			listed["z"] = true
			o.Put(era, at, "z")
		}
		o.List(era, end, listed)
	}
}

func merge(era uint64, at int64, ended bool) step {
	return func(o *kcrzone.Orders) { o.Merge([]kcrzone.Order{{Zone: "z", Era: era, At: at, Ended: ended}}) }
}

// TestOlderOrdersReplaceNothing checks which of two pieces of news about a zone holds.
func TestOlderOrdersReplaceNothing(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		steps []step
		want  bool // the zone is emptied
	}{
		"order":                                    {[]step{list(1, 4, -1), put(1, 5)}, true},
		"order taken back":                         {[]step{list(1, 4, -1), put(1, 5), takeBack(1, 6)}, false},
		"emptied again":                            {[]step{list(1, 4, -1), put(1, 5), takeBack(1, 6), put(1, 7)}, true},
		"listed order":                             {[]step{list(1, 8, 5)}, true},
		"taken back, history dropped":              {[]step{list(1, 8, 5), list(1, 12, -1)}, false},
		"replaced, history dropped":                {[]step{list(1, 8, 5), list(1, 12, 10), takeBack(1, 12)}, false},
		"listed after the end, then its records":   {[]step{list(1, 4, 6), put(1, 4), takeBack(1, 5), put(1, 6)}, true},
		"order of a peer in an outage":             {[]step{merge(1, 5, false)}, true},
		"taking back of a peer in an outage":       {[]step{list(1, 8, 5), merge(1, 5, true)}, false},
		"peer that has not heard the taking back":  {[]step{list(1, 4, -1), put(1, 5), takeBack(1, 6), merge(1, 5, false)}, false},
		"peer behind the list of a new router":     {[]step{list(1, 8, -1), merge(1, 5, false)}, false},
		"peer ahead of the list":                   {[]step{list(1, 8, -1), merge(1, 9, false)}, true},
		"peer behind a second order":               {[]step{list(1, 8, 7), merge(1, 5, true)}, true},
		"order of a peer ahead of a late list":     {[]step{merge(1, 9, false), list(1, 8, -1)}, true},
		"taking back heard before its records":     {[]step{list(1, 4, -1), merge(1, 5, true), put(1, 5)}, false},
		"order lost by a restored store":           {[]step{list(1, 4, -1), put(1, 5), list(2, 4, -1)}, true},
		"lost, then the history is dropped":        {[]step{list(1, 4, -1), put(1, 5), list(2, 4, -1), list(2, 9, -1)}, true},
		"lost, then taken back":                    {[]step{list(1, 4, -1), put(1, 5), list(2, 4, -1), takeBack(2, 4)}, false},
		"lost, given again and taken back":         {[]step{list(1, 4, -1), put(1, 5), list(2, 3, -1), put(2, 3), takeBack(2, 4)}, false},
		"lost, and a new router":                   {[]step{list(2, 4, -1), merge(2, -1, false)}, true},
		"taking back lost by a restored store":     {[]step{list(1, 4, -1), put(1, 5), takeBack(1, 6), list(2, 6, 5)}, false},
		"taking back lost, and a new router":       {[]step{list(2, 6, 5), merge(2, 5, true)}, false},
		"taking back lost, then emptied again":     {[]step{list(1, 4, -1), put(1, 5), takeBack(1, 6), list(2, 6, 5), put(2, 6)}, true},
		"both lost, emptied again at the offset":   {[]step{list(1, 4, -1), put(1, 5), takeBack(1, 6), list(2, 5, -1), put(2, 5)}, true},
		"peer that has not seen the restore":       {[]step{list(1, 4, -1), put(1, 5), takeBack(1, 6), list(2, 5, -1), merge(1, 5, false)}, false},
		"lost at a router that was cut off before": {[]step{list(1, 8, 5), list(2, 9, -1), merge(2, -1, true)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := kcrzone.New()
			for _, s := range c.steps {
				s(o)
			}
			if got := o.IsEmptied("z"); got != c.want || (o.Count() == 1) != c.want {
				t.Errorf("expected emptied %v, got %v, known %+v", c.want, got, o.Known())
			}
		})
	}
}

// history is what the operator has written: at each offset a zone and whether it is emptied.
type history []kcrzone.Order

// emptied reports whether a zone is emptied by the records before an offset, and by which.
func (h history) emptied(zone kcrid.Zone, end int64) (at int64, emptied bool) {
	for _, r := range h[:end] {
		if r.Zone == zone {
			at, emptied = r.At, !r.Ended
		}
	}
	return at, emptied
}

// reader is a router that has read the history up to an offset.
type reader struct {
	*kcrzone.Orders
	next int64
}

// read reads the next records one after the other, or as a list.
func (r *reader) read(h history, asList bool, zones []kcrid.Zone) {
	if asList {
		listed := map[kcrid.Zone]bool{}
		for _, zone := range zones {
			if at, emptied := h.emptied(zone, int64(len(h))); emptied {
				listed[zone] = true
				r.Put(1, at, zone)
			}
		}
		r.List(1, int64(len(h)), listed)
		r.next = int64(len(h))
		return
	}
	for _, record := range h[r.next:] {
		if record.Ended {
			r.TakeBack(1, record.At, record.Zone)
		} else {
			r.Put(1, record.At, record.Zone)
		}
		r.next++
	}
}

// TestRoutersAgreeOnZones plays random orders, which routers read late, as records or as lists, and
// tell each other. What a router knows is never older than what it has read, and all agree in the
// end.
func TestRoutersAgreeOnZones(t *testing.T) {
	t.Parallel()
	zones := []kcrid.Zone{"x", "y"}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var h history
		readers := make([]*reader, 4)
		for i := range readers {
			readers[i] = &reader{Orders: kcrzone.New()}
			readers[i].read(h, true, zones)
		}
		for range 200 {
			r, peer := readers[rng.IntN(len(readers))], readers[rng.IntN(len(readers))]
			switch rng.IntN(4) {
			case 0:
				h = append(h, kcrzone.Order{Zone: zones[rng.IntN(2)], At: int64(len(h)), Ended: rng.IntN(2) == 0})
			case 1:
				r.read(h, rng.IntN(4) == 0, zones)
			case 2:
				r.Merge(peer.Known())
			default:
				*r = reader{Orders: kcrzone.New()} // a new process, which has not read the store yet
				r.Merge(peer.Known())
				r.read(h, true, zones)
			}
			expectNotOlder(t, seed, r, h, zones)
		}
		for _, r := range readers {
			r.read(h, false, zones)
			r.Merge(readers[0].Known())
			for _, zone := range zones {
				if _, want := h.emptied(zone, int64(len(h))); r.IsEmptied(zone) != want {
					t.Fatalf("seed %d, zone %s: expected emptied %v in the end, got %+v", seed, zone, want, r.Known())
				}
			}
		}
	}
}

// expectNotOlder checks that what a router knows of each zone held at some time since the records
// that it has read.
func expectNotOlder(t *testing.T, seed uint64, r *reader, h history, zones []kcrid.Zone) {
	t.Helper()
	for _, zone := range zones {
		found := false
		for end := r.next; end <= int64(len(h)); end++ {
			_, emptied := h.emptied(zone, end)
			found = found || emptied == r.IsEmptied(zone)
		}
		if !found {
			t.Fatalf("seed %d, zone %s: expected what held since offset %d, got %+v", seed, zone, r.next, r.Known())
		}
	}
}
