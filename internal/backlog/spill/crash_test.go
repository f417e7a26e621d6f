package spill

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// A process that dies at any call, of the journal's or of the files behind the windows, loses no message, has none in
// two places and ends none twice; the next one takes all to their ends, in order.
func TestCrashAtEveryCall(t *testing.T) {
	for _, sync := range []store.SyncPolicy{store.SyncAlways, store.SyncNever} {
		whole := vfs.NewMem()
		d, err := start(whole, sync, begin, map[string]*life{})
		if err != nil {
			t.Fatal(err)
		}
		if err := d.play(); err != nil {
			t.Fatal(err)
		}
		over := 0
		for _, l := range d.lives {
			if l.over {
				over++
			}
		}
		if behind := d.s.Len(); behind < 5 || over < 20 {
			t.Fatalf("%d of %d are over, %d behind", over, len(d.lives), behind)
		}
		calls := whole.Calls()
		d.close()
		t.Logf("%d calls", calls)
		losses := vfs.Losses()
		if sync == store.SyncNever {
			losses = []vfs.Loss{vfs.LoseNone}
		}
		for n := 1; n <= calls; n++ {
			for _, loss := range losses[n%len(losses):][:1] {
				m, lives := vfs.NewMem(), map[string]*life{}
				m.CrashAt(n)
				now := begin
				if d, err := start(m, sync, begin, lives); err == nil {
					if err := d.play(); !m.Crashed() {
						t.Fatalf("crash at call %d: %v", n, err)
					}
					now = d.now
					d.close()
				}
				what := fmt.Sprintf("sync %v, crash at call %d, loss %d", sync, n, loss)
				left := m.Restart(loss, rand.New(rand.NewPCG(uint64(n), uint64(loss))))
				d, err := start(left, sync, now, lives)
				if err != nil {
					t.Fatalf("%s: %v", what, err)
				}
				d.check(t, what)
				d.drain(t, what)
				d.close()
			}
		}
	}
}
