package kcrbudget_test

import (
	"fmt"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// A home does nothing by itself. Its caller appends the records from Batch to the
// log, passes the records of the log to Apply, and gives the time as an argument.
func ExampleHome() {
	home := kcrbudget.NewHome(kcrbudget.HomeConfig{
		Self:        "home-1",
		Rules:       kcrbudget.DefaultHomeRules(),
		LedgerRules: kcrbudget.DefaultLedgerRules(),
		Policy:      kcrbudget.DemandPolicy(kcrbudget.DefaultDemandHorizon),
	})
	meter := kcrbudget.NewMeter(kcrbudget.DefaultMeterRules())
	now, offset := kcrclock.Time(0), kcrid.Offset(0)
	exchange := func() {
		records, _ := home.Batch(100)
		for _, data := range records {
			entry, err := kcrlog.DecodeEntry(data)
			if err != nil {
				panic(err)
			}
			offset++
			home.Apply(now, offset, entry)
		}
	}

	home.MarkReady()
	home.Credit("plan", "december", 1000)
	ask := kcrbudget.ReserveRequest{Call: kcrid.CallID{Team: "team", Key: "key"}, Plan: "plan", Server: "sidecar-1", WorstCase: 100}
	result := home.Reserve(now, ask)
	for result.Outcome == kcrbudget.Pending {
		exchange()
		result = home.Reserve(now, ask)
	}
	fmt.Println(result.Outcome)

	if err := meter.Begin(home.Self(), result.ID, "plan", 100); err != nil {
		panic(err)
	}
	if err := meter.Use(home.Self(), result.ID, 42); err != nil {
		panic(err)
	}
	used := meter.End(home.Self(), result.ID)
	home.Settle(now, "sidecar-1", kcrbudget.SettlementReport{Settlements: []kcrbudget.Settlement{
		{ID: result.ID, Call: ask.Call, Plan: "plan", Tokens: used, Outcome: kcrbudget.Complete},
	}})
	account, free := home.Account("plan")
	fmt.Println(account.Prepaid, account.Available(), free)
	// Output:
	// granted
	// 1000 600 358
}
