package logic_test

import (
	"fmt"

	"cometrack/logic"
)

// A message from its submission through a rejection with a requested wait to its delivery.
func Example() {
	const second = logic.Second
	sender, err := logic.New(logic.Settings{
		Senders: 1, Zones: 1, Slots: 4, MaxAttempts: 6, Tick: 5000, MayCancel: true,
		Classes:      []logic.Class{{Name: "note", Aim: 2 * second, Deadline: 20 * second, Worth: 1}},
		Kinds:        []logic.Kind{{Name: "partner", MaxBatch: 1}},
		FallMultiple: 2, FallWindow: 2 * second, ColdFrom: 0.2, WarmAfter: 14 * second,
		RemainingIndex: -1, LimitIndex: -1,
	}, 1)
	if err != nil {
		panic(err)
	}
	show := func(now logic.Micros, events ...logic.Event) {
		for _, a := range sender.Step(now, events) {
			if _, ok := a.(logic.SetTimer); !ok {
				fmt.Printf("%.1f s: %T\n", float64(now)/float64(second), a)
			}
		}
	}
	show(0, logic.Endpoints{Form: logic.ListFull, Entries: []logic.Entry{{Endpoint: 7, Dest: 3}}})
	show(1*second, logic.NewMessage{ID: "n1", Remaining: 20 * second, Dest: 3, Tenant: -1})
	show(1100000, logic.AttemptResult{ID: "n1", Endpoint: 7, Attempt: 0, Outcome: logic.Overloaded,
		RetryAfter: second / 2})
	show(1500000, logic.TimerFired{}) // the wait is not over: nothing is sent
	show(2200000, logic.TimerFired{})
	show(2400000, logic.AttemptResult{ID: "n1", Endpoint: 7, Attempt: 1, Outcome: logic.Completed, MessageEnded: true})
	fmt.Println("delivered")
	// Output:
	// 1.0 s: logic.StartAttempt
	// 2.2 s: logic.StartAttempt
	// delivered
}
