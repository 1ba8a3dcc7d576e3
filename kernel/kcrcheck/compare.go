package kcrcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrrule"
)

// This file defines what differs between two versions of a configuration. Invariant: changes are
// ordered by what callers notice, the gravest first.

// Effect is what callers notice of a change.
type Effect int

// Effects, the gravest first.
const (
	Rejected  Effect = iota // requests that were served are rejected
	Elsewhere               // requests are served by others, or in another way
	Limited                 // requests get less time, fewer attempts or tokens
	Eased                   // requests get more, or are served that were rejected
)

// effectNames are the printed names of the effects.
var effectNames = [...]string{"rejected", "elsewhere", "limited", "eased"}

// String returns the name of the effect, as it is printed.
func (e Effect) String() string { return effectNames[e] }

// Change is a difference between two versions.
type Change struct {
	Effect Effect
	Text   string
}

// comparison collects the changes from one draft to another.
type comparison struct {
	changes []Change
	from    *kcrrule.Rules
	to      *kcrrule.Rules
}

func (c *comparison) add(e Effect, format string, args ...any) {
	c.changes = append(c.changes, Change{e, fmt.Sprintf(format, args...)})
}

// addNumber adds the change of a number, if it has changed: a decrease limits, an increase eases.
func addNumber[T cmp.Ordered](c *comparison, what string, from, to T, unit string) {
	switch {
	case to < from:
		c.add(Limited, "%s: from %v to %v%s", what, from, to, unit)
	case to > from:
		c.add(Eased, "%s: from %v to %v%s", what, from, to, unit)
	}
}

// CheckVersion returns a finding if a configuration would not replace the version in force.
func CheckVersion(inForce uint64, d kcrrule.Draft) []Finding {
	if d.Version > inForce {
		return nil
	}
	return []Finding{{Error, Place{Kind: Version}, fmt.Sprintf("expected a version above %d, which is in force, got %d: it would be ignored", inForce, d.Version)}}
}

// Compare returns what differs in a configuration from another version.
func Compare(from, to kcrrule.Draft) []Change {
	c := &comparison{from: from.Rules(), to: to.Rules()}
	c.compareRoutes(from, to)
	c.compareServices(to)
	c.compareKeys(from, to)
	c.compareTeams(from, to)
	c.compareLimits(from.Limits, to.Limits)
	slices.SortStableFunc(c.changes, func(a, b Change) int { return cmp.Compare(a.Effect, b.Effect) })
	return c.changes
}

// routesByPlace returns the routes that can match, by host and prefix, and the places in order.
func routesByPlace(d kcrrule.Draft) (routes map[string]*kcrrule.Route, places []string) {
	routes = map[string]*kcrrule.Route{}
	for i := range d.Routes {
		place := strings.ToLower(d.Routes[i].Host) + d.Routes[i].Prefix
		if routes[place] == nil {
			routes[place] = &d.Routes[i]
			places = append(places, place)
		}
	}
	return routes, places
}

func (c *comparison) compareRoutes(from, to kcrrule.Draft) {
	before, oldPlaces := routesByPlace(from)
	after, newPlaces := routesByPlace(to)
	for _, place := range oldPlaces {
		old, next := before[place], after[place]
		if next != nil {
			c.compareRoute(place, old, next)
			continue
		}
		if shorter := c.to.Match(old.Host, old.Prefix); shorter != nil {
			c.add(Elsewhere, "route %s is gone: route %s%s takes its requests", place, shorter.Host, shorter.Prefix)
			continue
		}
		c.add(Rejected, "route %s is gone", place)
	}
	for _, place := range newPlaces {
		if before[place] != nil {
			continue
		}
		if shorter := c.from.Match(after[place].Host, after[place].Prefix); shorter != nil {
			c.add(Elsewhere, "route %s is new: it takes requests of route %s%s", place, shorter.Host, shorter.Prefix)
			continue
		}
		c.add(Eased, "route %s is new", place)
	}
}

// compareServices compares the largest requests of engines. Larger ones are rejected.
func (c *comparison) compareServices(to kcrrule.Draft) {
	for _, s := range to.Services {
		old := c.from.Services[s.Name]
		if old == nil || old.KVCapacity == s.KVCapacity {
			continue
		}
		switch {
		case old.KVCapacity == 0 || s.KVCapacity == 0:
			c.add(Elsewhere, "service %s: engines that count tokens from %t to %t", s.Name, old.KVCapacity > 0, s.KVCapacity > 0)
		case s.KVCapacity < old.KVCapacity:
			c.add(Rejected, "service %s: largest request: from %d to %d tokens", s.Name, old.KVCapacity, s.KVCapacity)
		default:
			c.add(Eased, "service %s: largest request: from %d to %d tokens", s.Name, old.KVCapacity, s.KVCapacity)
		}
	}
}

// compareKeys compares whether requests need keys: only while there are teams.
func (c *comparison) compareKeys(from, to kcrrule.Draft) {
	switch {
	case len(from.Teams) == 0 && len(to.Teams) > 0:
		c.add(Rejected, "the first team: requests need a key, but for anonymous routes")
	case len(from.Teams) > 0 && len(to.Teams) == 0:
		c.add(Eased, "no team is left: requests need no key")
	}
}

func (c *comparison) compareRoute(place string, from, to *kcrrule.Route) {
	what := "route " + place
	if from.Anonymous && !to.Anonymous && len(c.to.Teams) > 0 {
		c.add(Rejected, "%s: requests need a key", what)
	}
	if !from.Anonymous && to.Anonymous && len(c.from.Teams) > 0 {
		c.add(Eased, "%s: requests need no key", what)
	}
	if a, b := formatShares(from), formatShares(to); a != b {
		c.add(Elsewhere, "%s: from service %s to %s", what, a, b)
	}
	if from.Kind != to.Kind {
		c.add(Elsewhere, "%s: from kind %s to %s", what, from.Kind, to.Kind)
	}
	if from.Resumable != to.Resumable {
		c.add(Elsewhere, "%s: resumable from %t to %t", what, from.Resumable, to.Resumable)
	}
	c.addTimeout(what, from.Timeout, to.Timeout)
	if from.LatencyTarget != to.LatencyTarget {
		c.add(Elsewhere, "%s: target latency from %d to %d ms", what, from.LatencyTarget, to.LatencyTarget)
	}
	if from.EventGapTarget != to.EventGapTarget {
		c.add(Elsewhere, "%s: target between events from %d to %d ms", what, from.EventGapTarget, to.EventGapTarget)
	}
	addNumber(c, what+": runs", from.MaxRuns, to.MaxRuns, "")
	if from.Priority != to.Priority {
		c.add(Elsewhere, "%s: rank from %d to %d", what, from.Priority, to.Priority)
	}
}

// addTimeout adds the change of a timeout, of which 0 is none.
func (c *comparison) addTimeout(what string, from, to kcrclock.Duration) {
	switch {
	case from == to:
	case from == 0:
		c.add(Limited, "%s: timeout from none to %d ms", what, to)
	case to == 0:
		c.add(Eased, "%s: timeout from %d ms to none", what, from)
	default:
		addNumber(c, what+": timeout", from, to, " ms")
	}
}

// formatShares returns the services of a route with their parts of the requests.
func formatShares(r *kcrrule.Route) string {
	if len(r.TrafficShares) == 1 {
		return string(r.TrafficShares[0].Service)
	}
	total := 0
	for _, s := range r.TrafficShares {
		total += s.Weight
	}
	var parts []string
	for _, s := range r.TrafficShares {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", s.Service, 100*float64(s.Weight)/float64(max(1, total))))
	}
	return strings.Join(parts, " + ")
}

func (c *comparison) compareTeams(from, to kcrrule.Draft) {
	after := map[kcrid.Team]*kcrrule.Team{}
	for i := range to.Teams {
		after[to.Teams[i].Name] = &to.Teams[i]
	}
	before := map[kcrid.Team]bool{}
	for i := range from.Teams {
		old := &from.Teams[i]
		before[old.Name] = true
		if next := after[old.Name]; next != nil {
			c.compareTeam(old, next)
		} else {
			c.add(Rejected, "team %s is gone, with %d keys", old.Name, len(old.Keys))
		}
	}
	for i := range to.Teams {
		if !before[to.Teams[i].Name] {
			c.add(Eased, "team %s is new", to.Teams[i].Name)
		}
	}
}

func (c *comparison) compareTeam(from, to *kcrrule.Team) {
	what := "team " + string(from.Name)
	if moved := c.countMoved(from); moved > 0 {
		c.add(Elsewhere, "%s: %d of %d keys are of other teams", what, moved, len(from.Keys))
	}
	if removed := countMissing(from.Keys, to.Keys) - c.countMoved(from); removed > 0 {
		c.add(Rejected, "%s: %d of %d keys are gone", what, removed, len(from.Keys))
	}
	if added := countMissing(to.Keys, from.Keys); added > 0 {
		c.add(Eased, "%s: %d keys are new", what, added)
	}
	switch {
	case from.Prepaid < 0 && to.Prepaid >= 0:
		c.add(Limited, "%s: prepaid from no limit to %d tokens", what, to.Prepaid)
	case from.Prepaid >= 0 && to.Prepaid < 0:
		c.add(Eased, "%s: prepaid from %d tokens to no limit", what, from.Prepaid)
	default:
		addNumber(c, what+": prepaid", from.Prepaid, to.Prepaid, " tokens")
	}
	if from.Priority != to.Priority {
		c.add(Elsewhere, "%s: rank from %s to %s", what, formatRank(from.Priority), formatRank(to.Priority))
	}
}

// formatRank returns the rank of a team as text.
func formatRank(rank int) string {
	if rank < 0 {
		return "that of the route"
	}
	return fmt.Sprint(rank)
}

// countMoved returns how many keys of a team are now of another one.
func (c *comparison) countMoved(from *kcrrule.Team) (count int) {
	for _, key := range from.Keys {
		if owner := c.to.TeamByKey(key); owner != nil && owner.Name != from.Name {
			count++
		}
	}
	return count
}

// countMissing returns how many strings of a list another one lacks.
func countMissing(list, other []string) (count int) {
	for _, s := range list {
		if !slices.Contains(other, s) {
			count++
		}
	}
	return count
}

func (c *comparison) compareLimits(from, to kcrrule.Limits) {
	addNumber(c, "limits: bytes of a header", from.MaxHeaderBytes, to.MaxHeaderBytes, "")
	addNumber(c, "limits: bytes of a body", from.MaxBodyBytes, to.MaxBodyBytes, "")
	addNumber(c, "limits: time for a header", from.HeaderTimeout, to.HeaderTimeout, " ms")
	addNumber(c, "limits: idle time", from.IdleTimeout, to.IdleTimeout, " ms")
}
