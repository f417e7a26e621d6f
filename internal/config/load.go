package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error is one thing that is wrong with a file.
type Error struct {
	Path  string // of the file
	Line  int    // 0 if it concerns no line
	Field string // as in partner[2].rate; empty if the text can't be parsed
	Text  string
}

func (e *Error) Error() string {
	where := e.Path
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", where, e.Line)
	}
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s", where, e.Field, e.Text)
	}
	return fmt.Sprintf("%s: %s", where, e.Text)
}

// Errors is all that is wrong with a file, in the order of its lines.
type Errors []*Error

func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// maxFile bounds a configuration file.
const maxFile = 64 << 20

// Load reads a file, fills in what it leaves out, and checks it. An error is
// [Errors] unless the file can't be read.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if info.Size() > maxFile {
		return nil, fmt.Errorf("config: %s: over %d bytes", path, maxFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return Parse(path, text)
}

// Parse reads the text of a file; path is for messages and for relative paths in it.
func Parse(path string, text []byte) (*File, error) {
	f := &File{path: path}
	lines, list, err := index(text)
	if err != nil {
		return nil, Errors{syntaxError(path, text, err)}
	}
	f.lines = lines
	var wrong Errors
	told := map[string]bool{}
	for _, e := range list {
		if name, upto, near := unknown(e.path); name != "" && !told[upto] {
			told[upto] = true
			text := fmt.Sprintf("unknown key %q", name)
			if near != "" {
				text += fmt.Sprintf("; did you mean %q?", near)
			}
			wrong = append(wrong, &Error{path, e.line, upto, text})
		}
	}
	wrong = append(wrong, decode(f, slices.Clone(text), list)...)
	f.fill()
	if len(wrong) == 0 { // what is left out or misread would be reported once more
		wrong = f.check()
	} else {
		seen := map[int]bool{}
		for _, e := range wrong {
			seen[e.Line] = true
		}
		for _, e := range f.check() {
			if e.Line > 0 && !seen[e.Line] && f.lines[e.Field] > 0 {
				wrong = append(wrong, e)
			}
		}
	}
	if len(wrong) > 0 {
		slices.SortStableFunc(wrong, func(a, b *Error) int { return a.Line - b.Line })
		return nil, wrong
	}
	return f, nil
}

// decode fills f in. A value of the wrong type is noted, blanked out and left
// behind, so that one run finds them all.
func decode(f *File, text []byte, list []entry) (wrong Errors) {
	for range len(list) + 1 {
		err := toml.Unmarshal(text, f)
		if err == nil {
			return wrong
		}
		var d *toml.DecodeError
		if !errors.As(err, &d) {
			return append(wrong, &Error{Path: f.path, Text: err.Error()})
		}
		row, _ := d.Position()
		i := -1
		for k, e := range list {
			if e.line <= row && !e.table {
				i = k
			}
		}
		if i < 0 {
			return append(wrong, &Error{f.path, row, "", strings.TrimPrefix(d.Error(), "toml: ")})
		}
		wrong = append(wrong, &Error{f.path, row, list[i].path, strings.TrimPrefix(d.Error(), "toml: ")})
		to := len(text)
		if i+1 < len(list) { // what follows may be a head, whose brackets stand before its key
			if to = list[i+1].from; list[i+1].table {
				to = bytes.LastIndexByte(text[:to], '\n')
			}
		}
		for k := list[i].from; k < to; k++ {
			if text[k] != '\n' && text[k] != '\r' {
				text[k] = ' '
			}
		}
		*f = File{path: f.path, lines: f.lines}
	}
	return wrong
}

// syntaxError names the line at which the text can't be parsed.
func syntaxError(path string, text []byte, err error) *Error {
	var d *toml.DecodeError
	var f File
	if e := toml.Unmarshal(text, &f); errors.As(e, &d) {
		row, _ := d.Position()
		return &Error{path, row, "", strings.TrimPrefix(d.Error(), "toml: ")}
	}
	return &Error{Path: path, Text: err.Error()}
}
