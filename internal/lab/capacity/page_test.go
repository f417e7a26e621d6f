package capacity

import (
	"os"
	"testing"
)

// The tables in the page are what the committed JSON gives: neither goes stale alone.
func TestPageIsWhatTheSlopesGive(t *testing.T) {
	list, err := Read("../../../docs/measurements/capacity")
	if err != nil {
		t.Fatal(err)
	}
	if len(list) == 0 {
		t.Fatal("no slopes")
	}
	page, err := os.ReadFile("../../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	want, err := Fill(string(page), Tables(list))
	if err != nil {
		t.Fatal(err)
	}
	if want != string(page) {
		t.Error("docs/CAPACITY.md is not what docs/measurements/capacity gives: bin/measure capacity --table writes it anew")
	}
}

func TestFillNeedsItsMarkers(t *testing.T) {
	for name, page := range map[string]string{"none": "text\n", "no end": "<!-- capacity:a -->\n", "twice": "<!-- capacity:a -->\n<!-- /capacity:a -->\n<!-- capacity:a -->\n<!-- /capacity:a -->\n"} {
		if _, err := Fill(page, map[string]string{"a": "x\n"}); err == nil {
			t.Errorf("%s: nothing is said", name)
		}
	}
	got, err := Fill("before\n<!-- capacity:a -->\nold\n<!-- /capacity:a -->\nafter\n", map[string]string{"a": "new\n"})
	if want := "before\n<!-- capacity:a -->\nnew\n<!-- /capacity:a -->\nafter\n"; err != nil || got != want {
		t.Errorf("%q, %v", got, err)
	}
}
