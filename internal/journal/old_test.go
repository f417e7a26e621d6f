package journal

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cometrack/internal/message"
	"cometrack/internal/vfs"
)

// The file of an older version is imported, also entries of versions before partners had names. The process dies at
// each call of the file system in turn, and so does the next one: the import must then still be complete, without
// duplicates.
func TestImportLegacyFile(t *testing.T) {
	until := time.Now().Add(time.Hour).UnixMicro()
	old := legacyFile(t,
		`{"op":1,"entry":{"id":"a","class":"safe","tenant":"acme","dest":7,"deadline":99,"body":"eA=="}}`,
		`{"op":1,"entry":{"id":"b","class":"safe","dest":0,"deadline":99,"tries":2,"may_run":true,"first_may":5,"at_zone":"z"}}`,
		`{"op":2,"id":"a","at":5,"at_zone":"y"}`,
		`{"op":1,"entry":{"id":"c","class":"safe","dest":7,"deadline":99}}`,
		`{"op":5,"id":"c","notice":{"id":"c","state":"failed"}}`,
		Record{Op: OpEnded, Ended: &Ended{ID: "d", State: message.Delivered, RetainUntil: until}},
		accept("e", 10), Record{Op: OpDone, ID: "e", At: until},
		Record{Op: OpWait, ID: "w", At: until})
	// The times in the file are of a wall clock that may have been set since, so the age of an attempt is unknown.
	verify := func(what string, j *Journal) {
		t.Helper()
		a, b, c := j.Entry("a"), j.Entry("b"), j.Entry("c")
		if j.Len() != 3 || a == nil || b == nil || c == nil {
			t.Fatalf("%s: %v", what, j.entries)
		}
		if a.Partner != "7" || a.Tenant != "acme" || a.Attempts != 1 || !a.InFlight || a.MayHaveRunSince != earliestTime ||
			a.MayHaveRunZone != "y" || string(a.Body) != "x" ||
			b.Partner != "0" || b.Attempts != 2 || !b.MayHaveRun || b.MayHaveRunSince != earliestTime ||
			b.MayHaveRunZone != "z" || c.End == nil || c.End.State != message.Failed {
			t.Errorf("%s: a %+v\nb %+v\nc %+v", what, a, b, c)
		}
		if j.Ended("d") == nil || j.Ended("e") == nil || j.Ended("e").State != message.Delivered || j.Waits()["w"] != until {
			t.Errorf("%s: ended messages %v, waits %v", what, j.ended.byID, j.waits)
		}
	}
	fresh := func() *vfs.Mem {
		m := vfs.NewMem()
		m.SetFile(legacyName, append(old, "a torn tail"...))
		m.SetFile(legacyTempName, old[:9])
		return m
	}
	for n := 1; ; n++ {
		m := fresh()
		m.CrashAt(n)
		j, err := OpenOn(m, testOptions)
		if err == nil && !m.Crashed() {
			m.CrashAt(1 << 30)
			verify("no crash", j)
			j = reopen(t, j, m)
			verify("reopened", j)
			if m.Data(legacyName) != nil || m.Data(legacyTempName) != nil {
				t.Error("the old files are still there")
			}
			j.Close()
			return
		}
		for _, loss := range vfs.Losses() {
			what := fmt.Sprintf("crash at %d, loss %d", n, loss)
			left := m.Restart(loss, rand.New(rand.NewPCG(uint64(n), uint64(loss))))
			left.CrashAt(n % 13)
			if j, err := OpenOn(left, testOptions); err == nil {
				j.store.Close()
			}
			left = left.Restart(loss, rand.New(rand.NewPCG(uint64(n), 9)))
			j, err := OpenOn(left, testOptions)
			if err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			verify(what, j)
			j.Close()
		}
	}
}
