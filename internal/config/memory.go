package config

import "fmt"

// Memory per pending message in bytes, as `measure backlog` and `measure held` report it with
// bodies of 200 bytes.
const (
	windowBytes  = 2300 // in a partner's in-memory window
	backlogBytes = 13   // in the backlog on disk
)

// MemoryEstimate describes how much memory and disk open_messages may take. It is empty if
// partners have no window, as all messages are in memory then.
func (f *File) MemoryEstimate() string {
	l := f.Limits
	if l.Window == 0 {
		return ""
	}
	inMemory := min(l.OpenMessages, l.Window*len(f.Partners))
	spilled := l.OpenMessages - min(l.OpenMessages, l.Window)
	return fmt.Sprintf("at most %d messages in memory, about %.0f MB; at most %d in the backlog, about %.0f MB of memory and %d MB of disk",
		inMemory, float64(inMemory)*windowBytes/1e6, spilled, float64(spilled)*backlogBytes/1e6, l.BacklogMB)
}
