package config

import "fmt"

// What messages that are held take in memory, in bytes, as `measure backlog` and
// `measure held` find it with bodies of 200 bytes.
const (
	windowBytes = 2300
	behindBytes = 13
)

// Memory says what open_messages mean for memory where partners have windows; empty
// where they have none.
func (f *File) Memory() string {
	l := f.Limits
	if l.Window == 0 {
		return ""
	}
	in := min(l.OpenMessages, l.Window*len(f.Partners))
	behind := l.OpenMessages - min(l.OpenMessages, l.Window)
	return fmt.Sprintf("at most %d messages in memory, about %.0f MB; at most %d behind the windows, about %.0f MB of memory and %d MB of disk",
		in, float64(in)*windowBytes/1e6, behind, float64(behind)*behindBytes/1e6, l.BacklogMB)
}
