package kcrbudget

import (
	"log/slog"

	"kingcuprun.example/kernel/kcrid"
)

// LogEffect logs how a record changed the ledger. It skips reports that only
// update the spending. What another VM claimed or returned is in that VM's log.
func LogEffect(logger *slog.Logger, self kcrid.Incarnation, eff Effect, off kcrid.Offset) {
	if eff.Kind == Ignored || eff.Kind == Marked && eff.Tokens == 0 {
		return
	}
	if eff.Writer.VM() != self.VM() && (eff.Kind == Marked || eff.Kind == Claimed) {
		return
	}
	logger.Info("escrow", "what", eff.Kind.String(), "plan", string(eff.Plan), "holder", string(eff.Writer),
		"tokens", int64(eff.Tokens), "unmet", int64(eff.Unmet), "offset", uint64(off))
}
