package kcrnode

import (
	"encoding/json"
	"sync"

	"kingcuprun.example/kernel/kcrfleet"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrzone"
)

// This file applies the operator's orders that empty zones: the placement table chooses no
// upstream of such a zone, and idle connections to them are closed. The processes beside them
// are no upstreams and are called on. Invariant: an order is in force before any further record
// of its source is applied.

// zoneDesk is what a router knows of emptied zones. It is safe for concurrent use.
type zoneDesk struct {
	orders *kcrzone.Orders

	mu   sync.Mutex
	shut map[offer]bool // what upstreams in emptied zones offer, false if others do as well
}

// offer is what an upstream can be chosen for. The version is "" for any.
type offer struct {
	service kcrid.Service
	version string
}

func newZoneDesk() *zoneDesk { return &zoneDesk{orders: kcrzone.New()} }

// update replaces what is offered in emptied zones and in others.
func (d *zoneDesk) update(emptied, open []kcrfleet.Member) {
	shut := map[offer]bool{}
	for _, m := range emptied {
		shut[offer{m.Service, ""}], shut[offer{m.Service, m.Version}] = true, true
	}
	for _, m := range open {
		delete(shut, offer{m.Service, ""})
		delete(shut, offer{m.Service, m.Version})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = shut
}

// isShut reports whether all upstreams of a version of a service are in emptied zones. The
// version is "" for any.
func (d *zoneDesk) isShut(service kcrid.Service, version string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shut[offer{service, version}]
}

// FromStore is the source of what was read from the store. Other sources are addresses of peers.
const FromStore = "store"

// EmptyZone applies the record of the store that empties a zone.
func (n *Node) EmptyZone(era uint64, offset int64, zone kcrid.Zone) {
	if n.zones.orders.Put(era, offset, zone) {
		n.zoneChanged(kcrzone.Order{Zone: zone, Era: era, At: offset}, FromStore)
		n.updateUpstreams()
	}
}

// TakeBackZone applies the record of the store that takes back the order that empties a zone.
func (n *Node) TakeBackZone(era uint64, offset int64, zone kcrid.Zone) {
	if n.zones.orders.TakeBack(era, offset, zone) {
		n.zoneChanged(kcrzone.Order{Zone: zone, Era: era, At: offset, Ended: true}, FromStore)
		n.updateUpstreams()
	}
}

// ApplyZoneList applies that the store, when its topic ended at an offset, had orders for the
// listed zones only, for which EmptyZone was called.
func (n *Node) ApplyZoneList(era uint64, end int64, listed map[kcrid.Zone]bool) {
	ended := n.zones.orders.List(era, end, listed)
	for _, zone := range ended {
		n.zoneChanged(kcrzone.Order{Zone: zone, Era: era, At: end, Ended: true}, FromStore)
	}
	if len(ended) > 0 {
		n.updateUpstreams()
	}
}

// mergeZones applies the orders that a peer has sent.
func (n *Node) mergeZones(data []byte, peer string) {
	if len(data) == 0 {
		return
	}
	var orders []kcrzone.Order
	if err := json.Unmarshal(data, &orders); err != nil {
		n.logger.Warn("orders for zones of a peer ignored", "peer", peer, "err", err.Error())
		return
	}
	changed := n.zones.orders.Merge(orders)
	for _, order := range changed {
		n.zoneChanged(order, peer)
	}
	if len(changed) > 0 {
		n.updateUpstreams()
	}
}

// encodeZones encodes the known orders for a peer, as nothing if there are none.
func (n *Node) encodeZones() ([]byte, error) {
	orders := n.zones.orders.Known()
	if len(orders) == 0 {
		return nil, nil
	}
	return json.Marshal(orders)
}

// zoneChanged logs that a zone is emptied, or no more.
func (n *Node) zoneChanged(order kcrzone.Order, source string) {
	n.logger.Info("zone", "zone", string(order.Zone), "emptied", !order.Ended, "era", order.Era, "offset", order.At, "source", source)
}
