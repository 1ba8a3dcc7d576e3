package kcrmeasure

import (
	"fmt"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file holds the ways to keep budgets that are measured against each
// other: the homes of the kernel with a policy, and three without escrow on
// the log.

// node is a home with its view of the log.
type node struct {
	home   *kcrbudget.Home
	cursor int
	region int
}

// escrowScheme drives the kernel's homes, one a region.
type escrowScheme struct {
	c       cell
	policy  kcrbudget.Policy
	log     []*kcrentry.Entry
	nodes   [regions]*node
	meters  map[kcrid.Incarnation]*kcrbudget.Meter
	credits []kcrentry.Credit
	serial  int
	appends int
	bytes   int
	ticked  kcrclock.Time
	dead    map[kcrid.Incarnation]kcrclock.Time
}

func escrow(c cell, p kcrbudget.Policy) scheme {
	e := &escrowScheme{c: c, policy: p, meters: map[kcrid.Incarnation]*kcrbudget.Meter{}, dead: map[kcrid.Incarnation]kcrclock.Time{}}
	for region := range regions {
		e.nodes[region] = e.start(region)
	}
	return scheme{reserve: e.reserve, tick: e.tick, credit: e.credit, kill: e.kill, control: func() (int, int) { return e.appends, e.bytes }}
}

func (e *escrowScheme) start(region int) *node {
	e.serial++
	return &node{region: region, home: kcrbudget.NewHome(kcrbudget.Config{
		Self:  kcrid.Incarnation(fmt.Sprintf("home-%d-%d", region, e.serial)),
		Rules: kcrbudget.DefaultHomeRules(), LedgerRules: kcrbudget.DefaultLedgerRules(), Policy: e.policy,
	})}
}

func (e *escrowScheme) credit(plan int, tokens kcrid.Tokens) {
	e.credits = append(e.credits, kcrentry.Credit{Plan: string(planName(plan)), Name: fmt.Sprint(len(e.credits)), Tokens: int64(tokens)})
}

// kill ends the home of region A; the next in rank takes its place.
func (e *escrowScheme) kill(now kcrclock.Time) {
	e.dead[e.nodes[0].home.Self()] = now
	e.nodes[0] = e.start(0)
}

func (e *escrowScheme) reachable(now kcrclock.Time, n *node) bool {
	return !e.c.down(now) && (n.region == 0 || !e.c.cutB(now))
}

func (e *escrowScheme) tick(now kcrclock.Time) {
	for _, n := range e.nodes {
		if e.reachable(now, n) {
			e.exchange(now, n)
		}
	}
	if now.Sub(e.ticked) < kcrclock.Second {
		return
	}
	e.ticked = now
	for _, n := range e.nodes {
		n.home.Tick(now)
		e.recover(now, n)
	}
}

// exchange lets a home read to the end of the log and append what it has.
func (e *escrowScheme) exchange(now kcrclock.Time, n *node) {
	for ; n.cursor < len(e.log); n.cursor++ {
		n.home.Apply(now, kcrid.Offset(n.cursor+1), e.log[n.cursor])
	}
	n.home.Ready()
	records, _ := n.home.Batch(256)
	if len(records) == 0 {
		return
	}
	e.appends++
	for _, data := range records {
		e.bytes += len(data)
		entry, err := kcrlog.Decode(data)
		if err != nil {
			panic(err)
		}
		e.log = append(e.log, entry)
	}
}

// deadAfter is how long a holder is silent before it is suspected.
const deadAfter = 10 * kcrclock.Second

func (e *escrowScheme) recover(now kcrclock.Time, n *node) {
	for _, holder := range n.home.Others() {
		if at, ok := e.dead[holder]; ok && now.Sub(at) > deadAfter {
			n.home.Suspect(holder)
		}
	}
	for _, o := range n.home.Orders() {
		if m := e.meters[o.Server]; m != nil {
			n.home.Evidence(now, o, m.Fence(o.Holder))
		}
	}
}

func (e *escrowScheme) reserve(now kcrclock.Time, a *ask) (func(kcrid.Tokens), verdict) {
	n := e.nodes[a.region]
	for i := range e.credits {
		if c := &e.credits[i]; c.GetPlan() == string(planName(a.plan)) {
			n.home.Credit(planName(a.plan), c.GetName(), kcrid.Tokens(c.GetTokens()))
		}
	}
	server := kcrid.Incarnation(fmt.Sprintf("server-%d-%d", a.region, a.server))
	m, ok := e.meters[server]
	if !ok {
		m = kcrbudget.NewMeter(kcrbudget.DefaultMeterRules())
		e.meters[server] = m
	}
	call := kcrid.Call{Team: "team", Key: kcrid.Key(fmt.Sprint(a.id))}
	ans := n.home.Reserve(now, kcrbudget.Ask{Call: call, Plan: planName(a.plan), Server: server, Worst: a.worst, Last: a.last})
	switch ans.Code {
	case kcrbudget.Granted:
		return e.begin(n, m, server, call, a, ans.ID), granted
	case kcrbudget.Pending:
		return nil, later
	default:
		return nil, refused
	}
}

func (e *escrowScheme) begin(n *node, m *kcrbudget.Meter, server kcrid.Incarnation, call kcrid.Call, a *ask, id uint64) func(kcrid.Tokens) {
	holder := n.home.Self()
	if err := m.Begin(holder, id, planName(a.plan), a.worst); err != nil {
		panic(err)
	}
	return func(used kcrid.Tokens) {
		if err := m.Use(holder, id, used); err != nil {
			panic(err)
		}
		m.End(holder, id)
		n.home.Settle(a.since, server, kcrbudget.Report{Lines: []kcrbudget.Line{{
			ID: id, Call: call, Plan: planName(a.plan), Tokens: used, State: kcrbudget.Whole,
		}}})
	}
}

// staticSplit gives every sidecar the same part of every budget.
func staticSplit(d deployment, c cell) scheme {
	holders := regions * d.servers
	free := make([][]kcrid.Tokens, holders)
	for i := range free {
		free[i] = make([]kcrid.Tokens, d.plans)
	}
	var late []func(now kcrclock.Time) bool
	return scheme{
		credit: func(plan int, tokens kcrid.Tokens) {
			for i := range holders {
				late = append(late, func(now kcrclock.Time) bool {
					cut := c.down(now) || (i >= d.servers && c.cutB(now))
					if !cut {
						free[i][plan] += tokens / kcrid.Tokens(holders)
					}
					return !cut
				})
			}
		},
		tick: func(now kcrclock.Time) {
			kept := late[:0]
			for _, f := range late {
				if !f(now) {
					kept = append(kept, f)
				}
			}
			late = kept
		},
		kill: func(kcrclock.Time) { free[0] = make([]kcrid.Tokens, d.plans) },
		reserve: func(_ kcrclock.Time, a *ask) (func(kcrid.Tokens), verdict) {
			mine := free[a.region*d.servers+a.server]
			if mine[a.plan] < a.worst {
				return nil, refused
			}
			mine[a.plan] -= a.worst
			return func(used kcrid.Tokens) { mine[a.plan] += a.worst - used }, granted
		},
		control: func() (int, int) { return 0, 0 },
	}
}

// appendsMost is what the log takes a second.
const appendsMost = 300

// perRequest keeps the count on the log, with an append for each request and
// one for each settlement.
func perRequest(d deployment, c cell) scheme {
	left := make([]kcrid.Tokens, d.plans)
	appends, second, used := 0, kcrclock.Time(0), 0
	take := func(now kcrclock.Time) bool {
		if now.Sub(second) >= kcrclock.Second {
			second, used = now, 0
		}
		used++
		return used <= appendsMost
	}
	return scheme{
		credit: func(plan int, tokens kcrid.Tokens) { left[plan] += tokens },
		tick:   func(kcrclock.Time) {},
		kill:   func(kcrclock.Time) {},
		reserve: func(now kcrclock.Time, a *ask) (func(kcrid.Tokens), verdict) {
			if c.down(now) || (a.region == 1 && c.cutB(now)) || !take(now) {
				if a.last {
					return nil, refused
				}
				return nil, later
			}
			appends++
			if left[a.plan] < a.worst {
				return nil, refused
			}
			left[a.plan] -= a.worst
			return func(used kcrid.Tokens) {
				appends++
				left[a.plan] += a.worst - used
			}, granted
		},
		control: func() (int, int) { return appends, appends * 40 },
	}
}

// countLag is how old the counts are that sidecars see of each other.
const countLag = 5 * kcrclock.Second

// lagged serves from counts of what was spent, which lag, and which do not
// come through a partition at all.
func lagged(d deployment, c cell) scheme {
	prepaid := make([]kcrid.Tokens, d.plans)
	type count struct{ own, seen []kcrid.Tokens }
	var r [regions]count
	for i := range r {
		r[i] = count{own: make([]kcrid.Tokens, d.plans), seen: make([]kcrid.Tokens, d.plans)}
	}
	at := kcrclock.Time(0)
	return scheme{
		credit: func(plan int, tokens kcrid.Tokens) { prepaid[plan] += tokens },
		kill:   func(kcrclock.Time) {},
		tick: func(now kcrclock.Time) {
			if now.Sub(at) < countLag || c.down(now) || c.cutB(now) {
				return
			}
			at = now
			copy(r[0].seen, r[1].own)
			copy(r[1].seen, r[0].own)
		},
		reserve: func(_ kcrclock.Time, a *ask) (func(kcrid.Tokens), verdict) {
			mine := &r[a.region]
			if mine.own[a.plan]+mine.seen[a.plan]+a.worst > prepaid[a.plan] {
				return nil, refused
			}
			return func(used kcrid.Tokens) { mine.own[a.plan] += used }, granted
		},
		control: func() (int, int) { return 0, 0 },
	}
}
