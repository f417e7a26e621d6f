package spill

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// A crash at any file system call, of the journal or of the spilled messages, loses no message, leaves none in two
// places and ends none twice, although a message moves between the two logs in separate writes. The next process
// brings all messages to their ends, in order.
func TestCrashAtEveryCall(t *testing.T) {
	for _, sync := range []store.SyncPolicy{store.SyncAlways, store.SyncNever} {
		whole := vfs.NewMem()
		p, err := start(whole, sync, startTime, map[string]*expectation{})
		if err != nil {
			t.Fatal(err)
		}
		if err := p.runWorkload(); err != nil {
			t.Fatal(err)
		}
		ended := 0
		for _, x := range p.messages {
			if x.ended {
				ended++
			}
		}
		if spilled := p.s.Len(); spilled < 5 || ended < 20 {
			t.Fatalf("%d of %d have ended, %d are spilled", ended, len(p.messages), spilled)
		}
		calls := whole.Calls()
		p.close()
		t.Logf("%d calls", calls)
		losses := vfs.Losses()
		if sync == store.SyncNever {
			losses = []vfs.Loss{vfs.LoseNone}
		}
		for n := 1; n <= calls; n++ {
			for _, loss := range losses[n%len(losses):][:1] {
				m, messages := vfs.NewMem(), map[string]*expectation{}
				m.CrashAt(n)
				now := startTime
				if p, err := start(m, sync, startTime, messages); err == nil {
					if err := p.runWorkload(); !m.Crashed() {
						t.Fatalf("crash at call %d: %v", n, err)
					}
					now = p.now
					p.close()
				}
				label := fmt.Sprintf("sync %v, crash at call %d, loss %d", sync, n, loss)
				left := m.Restart(loss, rand.New(rand.NewPCG(uint64(n), uint64(loss))))
				p, err := start(left, sync, now, messages)
				if err != nil {
					t.Fatalf("%s: %v", label, err)
				}
				p.check(t, label)
				p.drain(t, label)
				p.close()
			}
		}
	}
}
