package journal

import (
	"errors"
	"fmt"

	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// openStore opens the store in the journal's folder.
func openStore(fs vfs.FS, opts Options) (*store.Store, error) {
	return store.Open(fs, store.Options{MaxBytes: opts.MaxBytes, Sync: opts.Sync, FlushInterval: opts.SyncInterval, Log: opts.Log})
}

// reopenFailedStore opens the store again after a failed sync. Data written before it may be lost
// even if later syncs succeed, so the whole state is written again, to a new segment. Until that
// is synced, no record appended since takes effect.
func (j *Journal) reopenFailedStore() error {
	if !j.reopening && !j.store.Failed() {
		return nil
	}
	j.reopening = true
	j.storeMu.Lock()
	defer j.storeMu.Unlock()
	if err := j.store.Close(); err != nil && !errors.Is(err, store.ErrClosed) && !errors.Is(err, store.ErrSyncFailed) {
		j.log.Warn("journal: close the failed store", "err", err)
	}
	st, err := openStore(j.fs, j.opts)
	if err != nil {
		return fmt.Errorf("reopen the store after a failed sync: %w", err)
	}
	j.store = st
	if err := st.Rotate(); err != nil {
		return fmt.Errorf("start a new segment after a failed sync: %w", err)
	}
	j.markAllDirty()
	j.reopening, j.unwritten = false, true
	j.log.Warn("journal: reopened the store after a failed sync; the whole state is written again",
		"held", len(j.entries), "ended", len(j.ended.byID))
	return nil
}

// markAllDirty has the whole state written again.
func (j *Journal) markAllDirty() {
	j.newEpoch = true
	for id := range j.entries {
		j.markDirty(id, messageDirty|stateDirty|rewriteStored)
	}
	for _, x := range j.ended.all() {
		if x.saved {
			j.markDirty(x.ID, stateDirty)
		}
	}
	for name := range j.waits {
		j.dirtyWaits[name] = true
	}
	for n := range j.terms {
		j.dirtyTerms[n] = true
	}
	j.dirtyTermsInForce = true
	for n := range j.leftBacklog.pages {
		j.leftBacklog.dirty[n] = true
	}
}
