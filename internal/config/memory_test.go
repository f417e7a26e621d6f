package config

import "testing"

func TestMemory(t *testing.T) {
	f, err := Parse("x", []byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	if s := f.MemoryEstimate(); s != "" {
		t.Errorf("without windows: %q", s)
	}
	f.Limits.Window, f.Limits.OpenMessages = 1000, 2_000_000
	f.Partners = append(f.Partners[:1:1], f.Partners[0])
	want := "at most 2000 messages in memory, about 5 MB; at most 1999000 in the backlog, about 26 MB of memory and 1024 MB of disk"
	if s := f.MemoryEstimate(); s != want {
		t.Errorf("%q, want %q", s, want)
	}
}
