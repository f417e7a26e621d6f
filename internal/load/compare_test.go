package load

import (
	"strings"
	"testing"
)

func reportOf(p99 float64, delivered int) *Report {
	return &Report{Format: 1, Valid: true, Seed: 3, Account: Account{Sent: 100, Accepted: 100, Delivered: delivered},
		Accepted: []Summary{{By: "all", P50: 100, P99: p99, P999: 3 * p99}, {By: "class", Name: "safe", P99: 1}}}
}

// A difference counts as better or worse only if it exceeds the noise of both sides.
func TestCompare(t *testing.T) {
	set := func(p99 ...float64) (out []*Report) {
		for _, x := range p99 {
			out = append(out, reportOf(x, 90))
		}
		return out
	}
	for _, x := range []struct {
		before, after []*Report
		want          string
	}{
		{set(1000, 1040, 1010), set(1300, 1320, 1280), Worse},
		{set(1300, 1320, 1280), set(1000, 1040, 1010), Better},
		{set(1000, 1040, 1010), set(1300, 1320, 900), WithinNoise},
		{set(1000, 1400, 1010), set(1300, 1320, 1280), WithinNoise},
		{set(1000), set(5000, 5001), Unknown},
	} {
		list, err := Compare(x.before, x.after)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range list {
			if d.Figure == "accepted p99, µs" && d.Verdict != x.want {
				t.Errorf("%+v, want %s", d, x.want)
			}
		}
		var b strings.Builder
		if err := WriteTable(&b, list); err != nil || !strings.Contains(b.String(), x.want) || len(list) != 5 {
			t.Errorf("%d figures, %s, %v", len(list), b.String(), err)
		}
	}
	list, _ := Compare([]*Report{reportOf(1, 90), reportOf(1, 91)}, []*Report{reportOf(1, 80), reportOf(1, 81)})
	if last := list[len(list)-1]; last.Verdict != Worse || last.Before != 90.5 {
		t.Errorf("%+v with fewer delivered", last)
	}
	late, other, newer := reportOf(1, 1), reportOf(1, 1), reportOf(1, 1)
	late.Valid, other.Seed, newer.Format = false, 4, 2
	for want, r := range map[string]*Report{"not valid": late, "different scenarios": other, "format 2": newer} {
		if _, err := Compare(set(1), []*Report{r}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if _, err := Compare(nil, set(1)); err == nil {
		t.Error("no runs, and no error")
	}
}
