package index

import (
	"bytes"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// Checks that the index holds what a map holds after any sequence of changes, and that iteration in ranges visits each
// key that stays exactly once.
func TestMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, want := New[int](), map[string]int{}
		key := rapid.Custom(func(t *rapid.T) string { // few keys of many lengths, some at the bounds
			n := rapid.IntRange(0, 400).Draw(t, "key")
			return fmt.Sprint(n) + string(bytes.Repeat([]byte("x"), min(n*n%2100, MaxKeyBytes-3)))
		})
		if rapid.Bool().Draw(t, "reserved") {
			x.Reserve(300)
		}
		steps := rapid.IntRange(0, 800).Draw(t, "steps")
		for i := range steps {
			k := key.Draw(t, "k")
			if rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				x.Delete([]byte(k))
				delete(want, k)
			} else {
				x.Set([]byte(k), i)
				want[k] = i
			}
			v, had := want[k]
			if got, ok := x.Get([]byte(k)); ok != had || got != v {
				t.Fatalf("%.10s is %d, %v; want %d, %v", k, got, ok, v, had)
			}
		}
		got, seen := map[string]int{}, map[string]int{}
		x.Visit(func(k []byte, v int) bool { got[string(k)] = v; return true })
		if !maps.Equal(got, want) || x.Len() != len(want) {
			t.Fatalf("%d keys, want %d", len(got), len(want))
		}
		for position, n := 0, 0; position >= 0; n++ {
			position = x.VisitRange(position, 7, func(k []byte, _ int) bool { seen[string(k)]++; return true })
			k := fmt.Sprint("new ", n%5)
			x.Set([]byte(k), n)
			x.Delete([]byte(fmt.Sprint("new ", (n+2)%5)))
		}
		for k := range want {
			if seen[k] != 1 {
				t.Fatalf("%.10s was seen %d times", k, seen[k])
			}
		}
	})
}

func TestVisitStops(t *testing.T) {
	x, n := New[int](), 0
	for i := range 5000 {
		x.Set([]byte(fmt.Sprint(i)), i)
	}
	x.Visit(func([]byte, int) bool { n++; return n < 3000 })
	if n != 3000 {
		t.Errorf("%d visits, want 3000", n)
	}
}

// Compares time and memory with Go's map for what a store does for each record.
func BenchmarkSetDelete(b *testing.B) {
	keys := make([][]byte, 1<<16)
	for i := range keys {
		keys[i] = fmt.Appendf(nil, "m-%017d", i*7919)
	}
	b.Run("index", func(b *testing.B) {
		x := New[[3]uint64]()
		for i := 0; b.Loop(); i++ {
			x.Set(keys[i%len(keys)], [3]uint64{1})
			x.Delete(keys[(i+len(keys)/2)%len(keys)])
		}
	})
	b.Run("map", func(b *testing.B) {
		x := map[string][3]uint64{}
		for i := 0; b.Loop(); i++ {
			x[string(keys[i%len(keys)])] = [3]uint64{1}
			delete(x, string(keys[(i+len(keys)/2)%len(keys)]))
		}
	})
}
