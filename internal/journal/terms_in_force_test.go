package journal

import (
	"fmt"
	"testing"

	"cometrack/internal/clock"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// termsOf returns terms of one class, in which a message may have a number of attempts.
func termsOf(class string, attempts int) Terms {
	return Terms{MaxAttempts: attempts, Classes: []ClassTerms{{Name: class, Deadline: 1}}}
}

func mustSetTermsInForce(t testing.TB, j *Journal, inForce TermsInForce) int64 {
	t.Helper()
	n, err := j.SetTermsInForce(inForce)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// inForceExample has terms in force of each kind.
func inForceExample() TermsInForce {
	return TermsInForce{Accepting: termsOf("x", 1), Configured: termsOf("x", 3),
		Superseded: []SupersededTerms{{termsOf("x", 2), 500}, {termsOf("y", 2), 700}}}
}

// checkExample checks that the journal knows the configured and the superseded terms of inForceExample.
func checkExample(t *testing.T, j *Journal) {
	t.Helper()
	got, want := j.TermsInForce(), inForceExample()
	if !got.Configured.Equal(&want.Configured) || len(got.Superseded) != len(want.Superseded) {
		t.Fatalf("%+v", got)
	}
	for i, x := range got.Superseded {
		if !x.Terms.Equal(&want.Superseded[i].Terms) || x.BindUntil != want.Superseded[i].BindUntil {
			t.Errorf("superseded terms %d: %+v", i, x)
		}
	}
}

// The terms in force outlive the process, though no message refers to them and others are dropped. If they were lost, the
// next process would accept messages under laxer ones.
func TestTermsInForceOutliveProcess(t *testing.T) {
	fs := vfs.NewMem()
	j := openJournal(t, fs, testOptions)
	mustSetTermsInForce(t, j, TermsInForce{Accepting: termsOf("old", 1), Configured: termsOf("old", 1)})
	mustAppend(t, j)
	mustSetTermsInForce(t, j, inForceExample())
	mustAppend(t, j)
	for range 2 {
		checkExample(t, j)
		j.DropExpired(j.Clock().Now())
		if len(j.terms) > 4 {
			t.Errorf("%d terms are kept", len(j.terms))
		}
		j = reopen(t, j, fs)
	}
	j.Close()
}

// After a failed sync the whole state is written again, with the terms in force.
func TestTermsInForceAreWrittenAgain(t *testing.T) {
	fs := vfs.NewMem()
	j := openJournal(t, fs, testOptions)
	mustSetTermsInForce(t, j, inForceExample())
	mustAppend(t, j)
	j.markAllDirty()
	if !j.dirtyTermsInForce {
		t.Error("the record is not written again")
	}
	j = reopen(t, j, fs)
	checkExample(t, j)
	j.Close()
}

// What was in force is not known if an older program has written the store, alone or since the record was written, or if
// terms are lost. All stored terms must then bind.
func TestUnknownTermsInForce(t *testing.T) {
	for name, change := range map[string]func(j *Journal){
		"no record": func(j *Journal) { j.termsInForce, j.dirtyTermsInForce = nil, false },
		"written since": func(j *Journal) {
			if _, err := j.numberTerms(termsOf("z", 1), maxTerms); err != nil {
				t.Fatal(err)
			}
		},
		"terms lost": func(j *Journal) {
			var b store.Batch
			b.Delete(termsKey(j.termsInForce.Configured))
			if err := j.store.Commit(&b); err != nil {
				t.Fatal(err)
			}
		},
	} {
		fs := vfs.NewMem()
		j := openJournal(t, fs, testOptions)
		mustSetTermsInForce(t, j, inForceExample())
		if name != "no record" {
			mustAppend(t, j)
		}
		change(j)
		j.unwritten = true
		mustAppend(t, j)
		j = reopen(t, j, fs)
		got := j.TermsInForce()
		if len(got.Configured.Classes) != 0 || len(got.Superseded) != len(j.terms) || len(j.terms) < 3 {
			t.Errorf("%s: %+v", name, got)
		}
		for _, x := range got.Superseded {
			if x.BindUntil != BindUntilUnknown {
				t.Errorf("%s: %+v", name, x)
			}
		}
		j.Close()
	}
}

// After a reboot the time for which superseded terms bind is unknown.
func TestTermsInForceAfterAnotherBoot(t *testing.T) {
	fs := vfs.NewMem()
	j := openJournal(t, fs, testOptions)
	mustSetTermsInForce(t, j, inForceExample())
	mustAppend(t, j, accept("a", 10))
	j.epoch, j.newEpoch = clock.Epoch{BootID: "another", Offset: 3}, true
	mustAppend(t, j, accept("b", 10))
	j = reopen(t, j, fs)
	for _, x := range j.TermsInForce().Superseded {
		if x.BindUntil != BindUntilUnknown {
			t.Errorf("%+v", x)
		}
	}
	j.Close()
}

// Terms in force leave room for as many as messages may refer to. Terms that can't be added change nothing, and a process
// starts with any number.
func TestTermsLimit(t *testing.T) {
	fs := vfs.NewMem()
	j := openJournal(t, fs, testOptions)
	inForce := inForceExample()
	refused := 0
	for i := range 2 * maxTerms {
		inForce.Accepting = termsOf("x", 100+i)
		n, err := j.SetTermsInForce(inForce)
		if err != nil {
			refused++
			checkExample(t, j)
			continue
		}
		m := accept(fmt.Sprint("m", i), 1)
		m.Entry.Terms = n
		mustAppend(t, j, m)
	}
	if accepted := j.Len(); accepted < maxTerms || accepted > maxTerms+maxTermsInForce || refused == 0 {
		t.Errorf("messages under %d terms, %d terms refused", accepted, refused)
	}
	j = reopen(t, j, fs)
	mustSetTermsInForce(t, j, TermsInForce{Accepting: termsOf("z", 1), Configured: termsOf("z", 2)}) // a start never fails
	for _, e := range j.Entries() {
		if j.Terms(e.Terms) == nil {
			t.Errorf("the terms of %s are lost", e.ID)
		}
	}
	j.Close()
}
