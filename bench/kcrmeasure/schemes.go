package kcrmeasure

import (
	"fmt"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the budget schemes that are compared: the kernel's homes, which
// hold escrow on the log under a policy, and three schemes without escrow.

// schemeHome is a home. Cursor is the number of log records that it has read.
type schemeHome struct {
	home   *kcrbudget.Home
	cursor int
	region int
}

// escrowScheme runs one kernel home per region with a shared log.
type escrowScheme struct {
	scenario      scenario
	policy        kcrbudget.Policy
	log           []*kcrentry.Entry
	homes         [regionCount]*schemeHome
	meters        map[kcrid.Incarnation]*kcrbudget.Meter
	credits       []kcrentry.Credit
	serial        int
	appends       int
	appendedBytes int
	lastTick      kcrclock.Time
	killedAt      map[kcrid.Incarnation]kcrclock.Time
}

// escrow returns a scheme of the kernel's homes, which hold escrow under a policy.
func escrow(sc scenario, p kcrbudget.Policy) scheme {
	e := &escrowScheme{scenario: sc, policy: p, meters: map[kcrid.Incarnation]*kcrbudget.Meter{}, killedAt: map[kcrid.Incarnation]kcrclock.Time{}}
	for region := range regionCount {
		e.homes[region] = e.startHome(region)
	}
	return scheme{reserve: e.reserve, tick: e.tick, credit: e.credit, kill: e.kill, logLoad: func() (int, int) { return e.appends, e.appendedBytes }}
}

// startHome returns a new home that has read nothing of the log.
func (e *escrowScheme) startHome(region int) *schemeHome {
	e.serial++
	return &schemeHome{region: region, home: kcrbudget.NewHome(kcrbudget.HomeConfig{
		Self:  kcrid.Incarnation(fmt.Sprintf("home-%d-%d", region, e.serial)),
		Rules: kcrbudget.DefaultHomeRules(), LedgerRules: kcrbudget.DefaultLedgerRules(), Policy: e.policy,
	})}
}

// credit records a top-up. A home learns of it when it handles a request of the plan.
func (e *escrowScheme) credit(plan int, tokens kcrid.Tokens) {
	e.credits = append(e.credits, kcrentry.Credit{Plan: string(planName(plan)), Name: fmt.Sprint(len(e.credits)), Tokens: int64(tokens)})
}

// kill replaces the home of region A with a successor. In production, the next sidecar in
// the ranking runs it.
func (e *escrowScheme) kill(now kcrclock.Time) {
	e.killedAt[e.homes[0].home.Self()] = now
	e.homes[0] = e.startHome(0)
}

// reachesLog reports whether a home can read and append.
func (e *escrowScheme) reachesLog(now kcrclock.Time, h *schemeHome) bool {
	return !e.scenario.logDown(now) && (h.region == 0 || !e.scenario.regionBCut(now))
}

// tick lets the homes read and append, and once a second do their periodic work.
func (e *escrowScheme) tick(now kcrclock.Time) {
	for _, h := range e.homes {
		if e.reachesLog(now, h) {
			e.syncLog(now, h)
		}
	}
	if now.Sub(e.lastTick) < kcrclock.Second {
		return
	}
	e.lastTick = now
	for _, h := range e.homes {
		h.home.Tick(now)
		e.recoverGrants(now, h)
	}
}

// syncLog makes a home read to the end of the log and append its pending records.
func (e *escrowScheme) syncLog(now kcrclock.Time, h *schemeHome) {
	for ; h.cursor < len(e.log); h.cursor++ {
		h.home.Apply(now, kcrid.Offset(h.cursor+1), e.log[h.cursor])
	}
	h.home.MarkReady()
	records, _ := h.home.Batch(256)
	if len(records) == 0 {
		return
	}
	e.appends++
	for _, data := range records {
		e.appendedBytes += len(data)
		entry, err := kcrlog.DecodeEntry(data)
		if err != nil {
			panic(err)
		}
		e.log = append(e.log, entry)
	}
}

// suspectAfter is how long a killed holder is silent before it is suspected.
const suspectAfter = 10 * kcrclock.Second

// recoverGrants makes a home recover the grants of killed holders: it suspects them and
// collects the evidence of the sidecars.
func (e *escrowScheme) recoverGrants(now kcrclock.Time, h *schemeHome) {
	for _, holder := range h.home.OtherHolders() {
		if at, ok := e.killedAt[holder]; ok && now.Sub(at) > suspectAfter {
			h.home.StartRecovery(holder)
		}
	}
	for _, missing := range h.home.MissingEvidence() {
		if m := e.meters[missing.Server]; m != nil {
			h.home.AddEvidence(now, missing, m.Fence(missing.Holder))
		}
	}
}

// reserve reserves the worst case of a request at the home of its region.
func (e *escrowScheme) reserve(now kcrclock.Time, request *budgetRequest) (func(kcrid.Tokens), reserveOutcome) {
	h := e.homes[request.region]
	for i := range e.credits {
		if c := &e.credits[i]; c.GetPlan() == string(planName(request.plan)) {
			h.home.Credit(planName(request.plan), c.GetName(), kcrid.Tokens(c.GetTokens()))
		}
	}
	sidecar := kcrid.Incarnation(fmt.Sprintf("server-%d-%d", request.region, request.sidecar))
	m, ok := e.meters[sidecar]
	if !ok {
		m = kcrbudget.NewMeter(kcrbudget.DefaultMeterRules())
		e.meters[sidecar] = m
	}
	call := kcrid.CallID{Team: "team", Key: kcrid.IdempotencyKey(fmt.Sprint(request.id))}
	result := h.home.Reserve(now, kcrbudget.ReserveRequest{Call: call, Plan: planName(request.plan), Server: sidecar, WorstCase: request.worstCase, NoPending: request.noPending})
	switch result.Outcome {
	case kcrbudget.Granted:
		return e.begin(h, m, sidecar, call, request, result.ID), granted
	case kcrbudget.Pending:
		return nil, pending
	default:
		return nil, refused
	}
}

// begin starts a request at a sidecar's meter and returns the function that settles it.
func (e *escrowScheme) begin(h *schemeHome, m *kcrbudget.Meter, sidecar kcrid.Incarnation, call kcrid.CallID, request *budgetRequest, id uint64) func(kcrid.Tokens) {
	holder := h.home.Self()
	if err := m.Begin(holder, id, planName(request.plan), request.worstCase); err != nil {
		panic(err)
	}
	return func(used kcrid.Tokens) {
		if err := m.Use(holder, id, used); err != nil {
			panic(err)
		}
		m.End(holder, id)
		h.home.Settle(request.arrivedAt, sidecar, kcrbudget.SettlementReport{Settlements: []kcrbudget.Settlement{{
			ID: id, Call: call, Plan: planName(request.plan), Tokens: used, Outcome: kcrbudget.Complete,
		}}})
	}
}

// staticSplit returns a scheme that gives every sidecar an equal part of every
// budget.
func staticSplit(d deployment, sc scenario) scheme {
	holders := regionCount * d.sidecarsPerRegion
	free := make([][]kcrid.Tokens, holders)
	for i := range free {
		free[i] = make([]kcrid.Tokens, d.planCount)
	}
	var late []func(now kcrclock.Time) bool
	return scheme{
		credit: func(plan int, tokens kcrid.Tokens) {
			for i := range holders {
				late = append(late, func(now kcrclock.Time) bool {
					cut := sc.logDown(now) || (i >= d.sidecarsPerRegion && sc.regionBCut(now))
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
		kill: func(kcrclock.Time) { free[0] = make([]kcrid.Tokens, d.planCount) },
		reserve: func(_ kcrclock.Time, request *budgetRequest) (func(kcrid.Tokens), reserveOutcome) {
			mine := free[request.region*d.sidecarsPerRegion+request.sidecar]
			if mine[request.plan] < request.worstCase {
				return nil, refused
			}
			mine[request.plan] -= request.worstCase
			return func(used kcrid.Tokens) { mine[request.plan] += request.worstCase - used }, granted
		},
		logLoad: func() (int, int) { return 0, 0 },
	}
}

// maxAppendsPerSecond is the rate of appends that the log accepts.
const maxAppendsPerSecond = 300

// perRequest returns a scheme that keeps the available tokens on the log, with
// one append for each request and one for each settlement.
func perRequest(d deployment, sc scenario) scheme {
	available := make([]kcrid.Tokens, d.planCount)
	appends, second, used := 0, kcrclock.Time(0), 0
	takeAppend := func(now kcrclock.Time) bool {
		if now.Sub(second) >= kcrclock.Second {
			second, used = now, 0
		}
		used++
		return used <= maxAppendsPerSecond
	}
	return scheme{
		credit: func(plan int, tokens kcrid.Tokens) { available[plan] += tokens },
		tick:   func(kcrclock.Time) {},
		kill:   func(kcrclock.Time) {},
		reserve: func(now kcrclock.Time, request *budgetRequest) (func(kcrid.Tokens), reserveOutcome) {
			if sc.logDown(now) || (request.region == 1 && sc.regionBCut(now)) || !takeAppend(now) {
				if request.noPending {
					return nil, refused
				}
				return nil, pending
			}
			appends++
			if available[request.plan] < request.worstCase {
				return nil, refused
			}
			available[request.plan] -= request.worstCase
			return func(used kcrid.Tokens) {
				appends++
				available[request.plan] += request.worstCase - used
			}, granted
		},
		logLoad: func() (int, int) { return appends, appends * 40 },
	}
}

// countInterval is the interval at which regions exchange their counts.
const countInterval = 5 * kcrclock.Second

// lagged returns a scheme that checks budgets against the spending of both
// regions. A region sees the spending of the other late, and not at all while they are
// partitioned.
func lagged(d deployment, sc scenario) scheme {
	prepaid := make([]kcrid.Tokens, d.planCount)
	type count struct{ own, seen []kcrid.Tokens }
	var r [regionCount]count
	for i := range r {
		r[i] = count{own: make([]kcrid.Tokens, d.planCount), seen: make([]kcrid.Tokens, d.planCount)}
	}
	exchangedAt := kcrclock.Time(0)
	return scheme{
		credit: func(plan int, tokens kcrid.Tokens) { prepaid[plan] += tokens },
		kill:   func(kcrclock.Time) {},
		tick: func(now kcrclock.Time) {
			if now.Sub(exchangedAt) < countInterval || sc.logDown(now) || sc.regionBCut(now) {
				return
			}
			exchangedAt = now
			copy(r[0].seen, r[1].own)
			copy(r[1].seen, r[0].own)
		},
		reserve: func(_ kcrclock.Time, request *budgetRequest) (func(kcrid.Tokens), reserveOutcome) {
			mine := &r[request.region]
			if mine.own[request.plan]+mine.seen[request.plan]+request.worstCase > prepaid[request.plan] {
				return nil, refused
			}
			return func(used kcrid.Tokens) { mine.own[request.plan] += used }, granted
		},
		logLoad: func() (int, int) { return 0, 0 },
	}
}
