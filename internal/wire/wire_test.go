package wire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"cometrack/logic"
)

func TestTimesAreExact(t *testing.T) {
	for text, want := range map[string]logic.Micros{"0": 0, "8.41225": 8_412_250, "0.5": 500_000, "665093.69785": 665_093_697_850,
		"0.000001": 1, "12": 12_000_000, "-0.25": -250_000, "9007199254.740993": 9_007_199_254_740_993, "1e-05": 10} {
		got, err := ParseTime(text)
		if err != nil || got != want {
			t.Errorf("%s: got %d, %v; want %d", text, got, err, want)
		}
		if text != "1e-05" && string(AppendTime(nil, want)) != text {
			t.Errorf("%d printed as %s, want %s", want, AppendTime(nil, want), text)
		}
	}
	for _, text := range []string{"", "x", "1.x", ".5", "1.0000001x", "1e", "--1", "1e300"} {
		if got, err := ParseTime(text); err == nil {
			t.Errorf("%q was read as %d", text, got)
		}
	}
}

func TestGoldenFrame(t *testing.T) {
	dec := NewDecoder(strings.NewReader(`frame 8.41225 12
register 0 2
entry 51530247 0 0 57 0 1 -
entry 747639282 1 0 57 3 1.5 6.1
endpoints 3 2 41 0
register 0 1
entry 1 0 0 58 1 0 -
endpoints 3 0 42 0
endpoints 3 3 42 0
call 3 rq_brwyere 0 0.24 0 0.012 91f03b7c55d20a64 0 57 0 0
call 3 rq_b 0 2 0 - - 0 57 - 1
reply 3 rq_brwyere 1 51530247 0 completed 0.0185 - -
reply 3 rq_b 0 51530247 2 saturated 0.02 1500 0.25,12
started 3 rq_b 1 51530247 0.5
client_gone 5 rq_ahg8m23
health_result 3 refused_conn 0.1 747639282 -
due 3 77
halt 5
eob
`))
	f, err := dec.Next()
	if err != nil {
		t.Fatal(err)
	}
	ev := func(instance int, e logic.Event) Item { return Item{Instance: instance, Event: e} }
	want := []Item{
		ev(3, logic.Endpoints{Form: logic.ListCached, Entries: []logic.Entry{{Endpoint: 51530247, Dest: 57, NominalRate: 1},
			{Endpoint: 747639282, Zone: 1, Dest: 57, State: logic.Draining, NominalRate: 1.5}}}),
		ev(3, logic.Endpoints{Entries: []logic.Entry{{Endpoint: 1, Dest: 58, State: logic.Gone}}}),
		ev(3, logic.Endpoints{Form: logic.ListFailed}),
		ev(3, logic.NewMessage{ID: "rq_brwyere", Remaining: 240_000, Key: "91f03b7c55d20a64", Dest: 57}),
		ev(3, logic.NewMessage{ID: "rq_b", Remaining: 2_000_000, Dest: 57, Tenant: -1, Class: 1}),
		ev(3, logic.AttemptResult{ID: "rq_brwyere", MessageEnded: true, Endpoint: 51530247, Latency: 18_500}),
		ev(3, logic.AttemptResult{ID: "rq_b", Endpoint: 51530247, Attempt: 2, Outcome: logic.Overloaded, Latency: 20_000, RetryAfter: 1_500_000,
			Load: []float64{0.25, 12}}),
		ev(3, logic.StreamStarted{ID: "rq_b", Attempt: 1}),
		ev(5, logic.ClientGone{ID: "rq_ahg8m23"}),
		ev(3, logic.ProbeResult{Endpoint: 747639282, Outcome: logic.ConnectionRefused}),
		ev(3, logic.TimerFired{Token: 77}),
		{Instance: 5, Halt: true},
	}
	if f.Clock != 8_412_250 || f.Seq != "12" || !reflect.DeepEqual(f.Items, want) {
		t.Errorf("got %+v\nwant %+v", f.Items, want)
	}
	if _, err := dec.Next(); err != io.EOF {
		t.Errorf("after the last frame: %v", err)
	}
}

func TestGoldenActions(t *testing.T) {
	for want, a := range map[string]logic.Action{
		"call_out 3 rq_a 0.08 51530247": logic.StartAttempt{ID: "rq_a", Timeout: 80_000, Endpoint: 51530247},
		"stop_attempt 3 rq_a 1":         logic.Cancel{ID: "rq_a", Attempt: 1},
		"say_no 3 rq_a 1.5":             logic.ReturnMessage{ID: "rq_a", RetryIn: 1_500_000},
		"say_no 3 rq_a -":               logic.ReturnMessage{ID: "rq_a"},
		"surrender 3 rq_a":              logic.FailMessage{ID: "rq_a"},
		"notify_me 3 0.5 77":            logic.SetTimer{Wait: 500_000, Token: 77},
		"sample 3 9":                    logic.Probe{Endpoint: 9},
		"release 3 9":                   logic.CloseIdle{Endpoint: 9},
		"listen 3 1":                    logic.RequestEndpoints{},
		"journal_line 3 two servers":    logic.Log{Text: "two\nservers"},
	} {
		if got := string(AppendAction(nil, 3, a)); got != want+"\n" {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

func TestMalformedFramesNameLineAndField(t *testing.T) {
	for text, want := range map[string]Error{
		"hello\n":                                                  {Line: 1},
		"frame x 1\neob\n":                                         {Line: 1, Field: "clock_s"},
		"frame 1 x\neob\n":                                         {Line: 1, Field: "round"},
		"frame 1 1 1\neob\n":                                       {Line: 1},
		"frame 1 1\nwhat 3\neob\n":                                 {Line: 2},
		"frame 1 1\ndue 3 -1\neob\n":                               {Line: 2, Field: "ctx"},
		"frame 1 1\ndue 3\neob\n":                                  {Line: 2, Field: "ctx"},
		"frame 1 1\ndue x 3\neob\n":                                {Line: 2, Field: "who"},
		"frame 1 1\nhalt 3 4\neob\n":                               {Line: 2},
		"frame 1 1\ndue 3 4\n":                                     {Line: 3},
		"frame 1 1\nregister 16 0\n":                               {Line: 2, Field: "set_id"},
		"frame 1 1\nregister 0 1\n":                                {Line: 3, Field: "rows"},
		"frame 1 1\nregister 0 -1\n":                               {Line: 2, Field: "rows"},
		"frame 1 1\nendpoints 3 7 1 0":                             {Line: 2, Field: "form"},
		"frame 1 1\nregister 0 1\nentry 1 0 0 57 2 1 -\n":          {Line: 3, Field: "readiness"},
		"frame 1 1\nregister 0 1\nentry 4294967296 0 0 57 0 1 -\n": {Line: 3, Field: "endpoint"},
		"frame 1 1\nreply 3 a 0 1 0 fine 0.1 - -\neob\n":           {Line: 2, Field: "reason"},
		"frame 1 1\nreply 3 a 0 1 0 errored 0.1 - 1,x\neob\n":      {Line: 2, Field: "pressure"},
		"frame 1 1\ncreate 0 1 {\neob\n":                           {Line: 2, Field: "setup"},
	} {
		_, err := NewDecoder(strings.NewReader(text)).Next()
		var got *Error
		if !errors.As(err, &got) || got.Line != want.Line || got.Field != want.Field {
			t.Errorf("%q: got %v, want line %d, field %q", text, err, want.Line, want.Field)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: the message has more than one line", text)
		}
	}
}

func TestSettings(t *testing.T) {
	set, err := ParseSettings([]byte(`{"balancers":3,"zone":1,"zones":["a","b"],"tick_s":0.005,"unknown":[1],
"classes":[{"name":"x","aim_s":2.5,"deadline_s":24,"group":"zone","idempotency":"dedup","late_worth":0.4,"window_s":25,"worth":2,"keep_order":true}],
"tenants":[{"name":"t","quota_rps":10}],"machine_types":["k","l"],"membership_mode":"on_request","weights":"rough",
"limits":{"conn_idle_s":10,"multiplex":8,"max_attempts":6,"max_open":69,"max_retry_after_s":2,"may_cancel":true,"probing":true,"retry_after":true},
"charges":{"handshake":0.02},"load_info":{"how":"inline","names":["x1","qps","x0"]},"over_share_worth":0.2,
"rules":{"cold_from":0.19,"drain_grace_s":2,"fall_multiple":2,"fall_s":3,"warm_after_s":14,"key_quiet_s":1.5},
"specifics":{"batch_by_kind":[1,4],"call_slots":6,"late":"halves","separate_routes":[true,false]}}`))
	want := logic.Settings{Senders: 3, Zone: 1, Zones: 2, Tick: 5000, OverQuotaWorth: 0.2, Slots: 6, MaxOpen: 69, MaxAttempts: 6,
		ListOnRequest: true, Probing: true, MayCancel: true, AdviseRetry: true, ExponentialDecay: true, Weights: logic.WeightsRough,
		MaxRetryAfter: 2_000_000, DrainGrace: 2_000_000, FallMultiple: 2, FallWindow: 3_000_000, ColdFrom: 0.19,
		WarmAfter: 14_000_000, KeyQuiet: 1_500_000, ConnIdle: 10_000_000, ConnCalls: 8, ConnCost: 0.02, RemainingIndex: 2, LimitIndex: 0,
		Classes: []logic.Class{{Name: "x", Aim: 2_500_000, Deadline: 24_000_000, Worth: 2, LateWorth: 0.4,
			Effect: logic.Keyed, ByZone: true, Window: 25_000_000, KeepOrder: true}},
		Tenants: []logic.Tenant{{Name: "t", QuotaRPS: 10}},
		Kinds:   []logic.Kind{{Name: "k", Independent: true, MaxBatch: 1}, {Name: "l", MaxBatch: 4}}}
	if err != nil || !reflect.DeepEqual(set, want) {
		t.Errorf("got %+v, %v\nwant %+v", set, err, want)
	}
	for _, text := range []string{`{"weights":"heavy"}`, `{"classes":[{"idempotency":"perhaps"}]}`, `[]`} {
		if _, err := ParseSettings([]byte(text)); err == nil {
			t.Errorf("%s: no error", text)
		}
	}
}
