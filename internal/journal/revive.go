package journal

import (
	"errors"
	"fmt"

	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

func openStore(fs vfs.FS, opts Options) (*store.Store, error) {
	return store.Open(fs, store.Options{Limit: opts.MaxBytes, Sync: opts.Sync, Every: opts.SyncInterval, Log: opts.Log})
}

// revive opens the store again if a sync has failed: what was written before it may
// be gone whatever the system says, so all that the journal knows is written once more,
// to a new segment. Until that has been synced nothing that was taken on since counts.
func (j *Journal) revive() error {
	if !j.reviving && !j.store.Failed() {
		return nil
	}
	j.reviving = true
	j.storeMu.Lock()
	defer j.storeMu.Unlock()
	if err := j.store.Close(); err != nil && !errors.Is(err, store.ErrClosed) && !errors.Is(err, store.ErrFailed) {
		j.log.Warn("journal: the store that failed", "err", err)
	}
	st, err := openStore(j.fs, j.opts)
	if err != nil {
		return fmt.Errorf("open the store again after a sync that failed: %w", err)
	}
	j.store = st
	if err := st.Rotate(); err != nil {
		return fmt.Errorf("after a sync that failed: %w", err)
	}
	j.markAll()
	j.reviving, j.behind = false, true
	j.log.Warn("journal: a sync had failed; all is written anew", "held", len(j.entries), "ended", len(j.ended.byID))
	return nil
}

// markAll has all that the journal knows written again.
func (j *Journal) markAll() {
	j.newEpoch = true
	for id := range j.entries {
		j.mark(id, markMessage|markState|markAnew)
	}
	for _, x := range j.ended.all() {
		if x.saved {
			j.mark(x.ID, markState)
		}
	}
	for name := range j.waits {
		j.dirtyWaits[name] = true
	}
	for n := range j.terms {
		j.dirtyTerms[n] = true
	}
	for n := range j.passed.parts {
		j.passed.dirty[n] = true
	}
}
