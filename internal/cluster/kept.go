package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"cometrack/internal/view"
)

// stateFileName is the file in the state folder with the state that survives a restart.
const stateFileName = "cluster.json"

// savedState is the state that survives a restart.
type savedState struct {
	Incarnation  uint64      `json:"incarnation"`
	AdmittedAddr string      `json:"home"` // address at which all peers last admitted this sender
	Senders      []view.Peer `json:"senders"`
}

// maxStateFileBytes limits the size of the state file.
const maxStateFileBytes = 1 << 20

// readSavedState reads the saved state; it is empty if there is none. With an unreadable file the
// sender is a new member that all peers have to admit.
func readSavedState(dir string) (saved savedState, err error) {
	path := filepath.Join(dir, stateFileName)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return savedState{}, nil
	}
	if err == nil && info.Size() > maxStateFileBytes {
		err = fmt.Errorf("over %d bytes", maxStateFileBytes)
	}
	var text []byte
	if err == nil {
		text, err = os.ReadFile(path)
	}
	if err == nil {
		err = json.Unmarshal(text, &saved)
	}
	if err != nil {
		return savedState{}, fmt.Errorf("%s: %w", path, err)
	}
	return saved, nil
}

// write replaces the file atomically: after a crash it has either the old or the new content.
func (k savedState) write(dir string) error {
	text, err := json.MarshalIndent(k, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(dir, stateFileName)
	file, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
