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

// backlogDir is the folder of the messages behind the windows, within the state
// folder. Whoever has the journal has it.
const backlogDir = "backlog"

// behind opens what is behind the windows of the partners. Without a window there is
// none, unless an earlier process had one and has left messages behind it: then they
// come into memory, as all others do.
func behind(f *config.File, log *slog.Logger) func(core.Store, func(any, <-chan struct{})) (core.Backlog, error) {
	return func(kept core.Store, tell func(any, <-chan struct{})) (core.Backlog, error) {
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
		return spill.Open(dir, kept, spill.Options{Window: window, MaxBytes: int64(f.Limits.BacklogMB) * 1e6, Sync: f.Store.SyncPolicy(),
			FlushInterval: time.Duration(f.Store.Interval), Log: log}, tell)
	}
}

// backlogFiles is how many files it has open at most.
func backlogFiles(f *config.File) int {
	if f.Limits.Window == 0 {
		return 0
	}
	return disk.MaxOpenFiles(int64(f.Limits.BacklogMB) * 1e6)
}
