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

// keptName is the file in the state folder that holds what outlives a restart.
const keptName = "cluster.json"

// kept is what outlives a restart.
type kept struct {
	Incarnation uint64      `json:"incarnation"`
	Home        string      `json:"home"` // address at which all others last took this sender in
	Senders     []view.Peer `json:"senders"`
}

const maxKept = 1 << 20 // bytes

// readKept reads what was kept. A file that can't be read counts as none: this
// sender is then a stranger who has to be taken in by all.
func readKept(dir string) (k kept, err error) {
	path := filepath.Join(dir, keptName)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return kept{}, nil
	}
	if err == nil && info.Size() > maxKept {
		err = fmt.Errorf("over %d bytes", maxKept)
	}
	var text []byte
	if err == nil {
		text, err = os.ReadFile(path)
	}
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	if err != nil {
		return kept{}, fmt.Errorf("%s: %w", path, err)
	}
	return k, nil
}

// write puts the file in place whole: after a crash it is the old one or the new.
func (k kept) write(dir string) error {
	text, err := json.MarshalIndent(k, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(dir, keptName)
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
