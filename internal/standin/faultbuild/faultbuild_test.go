package faultbuild

import (
	"os"
	"path/filepath"
	"testing"
)

// Each piece of the standard library that is patched exists in the installed tool chain.
func TestOverlayFitsTheToolChain(t *testing.T) {
	path, err := writeOverlay(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(path); err != nil {
		t.Error(err)
	}
}

// A new page has no faults and zero counts, and a probability is stored in units of 2^-32.
func TestControlsStartWithoutFaults(t *testing.T) {
	c, err := NewControls(filepath.Join(t.TempDir(), "page"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if c.Counts() != (Counts{}) || c.get(fieldHoldProbability) != 0 {
		t.Errorf("counts %+v of a new page", c.Counts())
	}
	c.HoldAfterClock(0.5)
	if got := c.get(fieldHoldProbability); got != 1<<31 {
		t.Errorf("probability %d, want a half of 2^32", got)
	}
}
