package daemon

import (
	"errors"
	"io/fs"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"time"

	"cometrack/internal/backlog/disk"
	"cometrack/internal/backlog/spill"
	"cometrack/internal/config"
	"cometrack/internal/core"
	"cometrack/internal/vfs"
)

// backlogDir is the folder of the backlog within the state folder. The process that has the journal's lock owns it.
const backlogDir = "backlog"

// openBacklog returns a function that opens the backlog. If no window is configured, the function returns nil, unless
// an earlier process left a backlog: the window is then unbounded, so that all its messages are refilled into memory.
func openBacklog(f *config.File, log *slog.Logger) func(core.Store, func(any, <-chan struct{})) (core.Backlog, error) {
	return func(store core.Store, post func(any, <-chan struct{})) (core.Backlog, error) {
		path, window := filepath.Join(f.State, backlogDir), f.Limits.Window
		if window == 0 {
			if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
				return nil, nil
			}
			window = math.MaxInt32
		}
		dir, err := vfs.OpenDir(path)
		if err != nil {
			return nil, err
		}
		return spill.Open(dir, store, spill.Options{Window: window, MaxBytes: int64(f.Limits.BacklogMB) * 1e6,
			Sync: f.Store.SyncPolicy(), FlushInterval: time.Duration(f.Store.Interval), Log: log}, post)
	}
}

// maxBacklogFiles returns the maximum number of files that the backlog keeps open.
func maxBacklogFiles(f *config.File) int {
	if f.Limits.Window == 0 {
		return 0
	}
	return disk.MaxOpenFiles(int64(f.Limits.BacklogMB) * 1e6)
}
