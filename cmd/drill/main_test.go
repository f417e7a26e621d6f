package main

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
)

const setup = `{"balancers":3,"zones":["a"],"tick_s":0.005,"classes":[{"name":"x","aim_s":1,"deadline_s":8,"idempotency":"retryable","worth":1}],` +
	`"machine_types":["k"],"limits":{"max_attempts":6,"max_open":40,"may_cancel":true},"membership_mode":"pushed","weights":"off",` +
	`"rules":{"cold_from":0.2,"drain_grace_s":1,"fall_multiple":2,"fall_s":2,"warm_after_s":14},"specifics":{"call_slots":4,"batch_by_kind":[1],"separate_routes":[false]}}`

// script returns frames for the given instances: starts, an endpoint list, messages that are rejected or time out.
func script(instances ...int) string {
	var b strings.Builder
	fmt.Fprint(&b, "frame 1 1\nregister 0 2\nentry 11 0 0 5 0 0 -\nentry 12 0 0 5 0 0 -\n")
	for _, w := range instances {
		fmt.Fprintf(&b, "create %d %d %s\nendpoints %d 2 1 0\n", w, 100+w, setup, w)
	}
	fmt.Fprint(&b, "eob\n")
	for n := 2; n < 60; n++ {
		fmt.Fprintf(&b, "frame %d.5 %d\n", n, n)
		for _, w := range instances {
			fmt.Fprintf(&b, "call %d rq_%d_%d 0 8 0 - - 0 5 - 0\ndue %d %d\n", w, w, n, w, n)
		}
		fmt.Fprint(&b, "eob\n")
	}
	return b.String()
}

// actionsOf runs the command on the input and returns the actions of each instance.
func actionsOf(t *testing.T, in string) map[string][]string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	byInstance := map[string][]string{}
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if p := strings.Fields(line); p[0] != "eor" {
			byInstance[p[1]] = append(byInstance[p[1]], line)
		}
	}
	return byInstance
}

// Instances share no state: in one process they act as each does alone.
func TestOneProcessOrThree(t *testing.T) {
	together := actionsOf(t, script(0, 1, 2))
	for w := range 3 {
		alone := actionsOf(t, script(w))
		if !slices.Equal(together[fmt.Sprint(w)], alone[fmt.Sprint(w)]) {
			t.Errorf("instance %d acts differently beside other instances", w)
		}
		if len(alone[fmt.Sprint(w)]) < 50 {
			t.Errorf("instance %d took only %d actions", w, len(alone[fmt.Sprint(w)]))
		}
	}
}

func TestRepliesAndRestarts(t *testing.T) {
	var out bytes.Buffer
	in := "frame 1 1\neob\n\nframe 2 2\ncreate 4 9 " + setup + "\nhalt 4\ncreate 4 10 " + setup + "\ncall 4 a 0 8 0 - - 0 5 - 0\neob\n" +
		"frame 3 3\nhalt 4\ndue 4 1\nclient_gone 7 nobody\neob\n"
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if lines[0] != "eor 1" || lines[len(lines)-2] != "eor 2" || lines[len(lines)-1] != "eor 3" {
		t.Errorf("replies: %q", lines)
	}
}

func TestBadInputIsOneLine(t *testing.T) {
	for in, want := range map[string]string{
		"frame 1 1\ndue x 1\neob\n":                                   "line 2: field who",
		"frame 1 1\ncreate 0 1 {\"balancers\":1,\"zones\":[]}\neob\n": "Classes",
		"frame 1 1\n": "line 2",
	} {
		err := run(strings.NewReader(in), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got %v, want one line with %q", in, err, want)
		}
	}
}

// With a thousand endpoints, events about unknown messages are ignored and malformed input fails with one line.
func TestThousandEndpoints(t *testing.T) {
	var b strings.Builder
	fmt.Fprint(&b, "frame 1 1\nregister 0 1000\n")
	for i := range 1000 {
		fmt.Fprintf(&b, "entry %d 0 0 %d 0 0 -\n", 100+i, i/2)
	}
	fmt.Fprintf(&b, "create 0 7 %s\nendpoints 0 2 1 0\neob\n", setup)
	start := b.String()
	odd := start + "frame 2 2\nreply 0 nobody 1 100 0 completed 0.1 - -\ndue 0 9\ncall 0 rq 0 8 0 - - 0 499 - 0\neob\n"
	if got := actionsOf(t, odd)["0"]; !slices.ContainsFunc(got, func(l string) bool { return strings.HasPrefix(l, "call_out 0 rq ") }) {
		t.Errorf("after events for unknown messages and timers: %v", got)
	}
	for _, bad := range []string{"frame x 2\neob\n", "frame 2 2\ncall 0\neob\n", "frame 2 2\nnonsense 0\neob\n"} {
		var out bytes.Buffer
		err := run(strings.NewReader(start+bad), &out)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want one line", bad, err)
		}
	}
}
