package kcrbudget

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines which loans a borrower has in flight. Invariants: what loans in flight were
// asked for is not asked for again; the loans of a plan in flight are bounded, and begin at
// least loanSpacing apart, so that a crowd shares a loan.

// Limits of the loans in flight of one plan.
const (
	maxLoansInFlight = 4
	loanSpacing      = 5 * kcrclock.Millisecond
)

// LoanDesk keeps account of the loans in flight of the plans of one bucket. It is safe for
// concurrent use.
type LoanDesk struct {
	mu    sync.Mutex
	plans map[kcrid.Plan]*loansInFlight
}

// loansInFlight are the loans of one plan.
type loansInFlight struct {
	count   int
	need    kcrid.Tokens // of all
	wanted  kcrid.Tokens // of all, including need
	beganAt kcrclock.Time
}

// NewLoanDesk returns a desk without loans.
func NewLoanDesk() *LoanDesk { return &LoanDesk{plans: map[kcrid.Plan]*loansInFlight{}} }

// LoanSize is the size of a loan: Least is what the smallest request that waits lacks, Need what
// all lack, and Want includes the demand that is expected.
type LoanSize struct{ Least, Need, Want kcrid.Tokens }

// Begin begins a loan of a size, less what loans in flight were asked for. It returns false if
// there is nothing left to ask for, or too many loans are in flight.
func (d *LoanDesk) Begin(now kcrclock.Time, p kcrid.Plan, size LoanSize) (rest LoanSize, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.plans[p]
	if l == nil {
		l = &loansInFlight{}
		d.plans[p] = l
	}
	rest = LoanSize{Need: size.Need - l.need, Want: size.Want - l.wanted}
	rest.Want = max(rest.Want, rest.Need)
	rest.Least = min(size.Least, rest.Need)
	if l.count > 0 && (l.count >= maxLoansInFlight || rest.Need <= 0 || now.Sub(l.beganAt) < loanSpacing) {
		return LoanSize{}, false
	}
	l.count++
	l.need += rest.Need
	l.wanted += rest.Want
	l.beganAt = now
	return rest, true
}

// End ends a loan that Begin has begun with a size.
func (d *LoanDesk) End(p kcrid.Plan, size LoanSize) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.plans[p]
	l.count--
	l.need -= size.Need
	l.wanted -= size.Want
}

// InFlight returns the tokens that the loans of a plan in flight were asked for.
func (d *LoanDesk) InFlight(p kcrid.Plan) kcrid.Tokens {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.plans[p]; l != nil {
		return l.wanted
	}
	return 0
}

// Count returns the number of all loans in flight.
func (d *LoanDesk) Count() (count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.plans {
		count += l.count
	}
	return count
}
