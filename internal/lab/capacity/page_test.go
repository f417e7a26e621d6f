package capacity

import (
	"os"
	"testing"
)

// The tables in the page must match the committed slopes.
func TestPageIsWhatTheSlopesGive(t *testing.T) {
	list, err := ReadSlopes("../../../docs/measurements/capacity")
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
	want, err := FillTables(string(page), Tables(list))
	if err != nil {
		t.Fatal(err)
	}
	if want != string(page) {
		t.Error("docs/CAPACITY.md does not match docs/measurements/capacity: bin/measure capacity --table updates it")
	}
}

// A page without exactly one pair of markers for a table must be rejected.
func TestFillNeedsItsMarkers(t *testing.T) {
	for name, page := range map[string]string{"none": "text\n", "no end": "<!-- capacity:a -->\n", "twice": "<!-- capacity:a -->\n<!-- /capacity:a -->\n<!-- capacity:a -->\n<!-- /capacity:a -->\n"} {
		if _, err := FillTables(page, map[string]string{"a": "x\n"}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	got, err := FillTables("before\n<!-- capacity:a -->\nold\n<!-- /capacity:a -->\nafter\n",
		map[string]string{"a": "new\n"})
	if want := "before\n<!-- capacity:a -->\nnew\n<!-- /capacity:a -->\nafter\n"; err != nil || got != want {
		t.Errorf("%q, %v", got, err)
	}
}
