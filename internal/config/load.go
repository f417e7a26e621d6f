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

// Error is one fault of a configuration file.
type Error struct {
	Path  string // of the file
	Line  int    // from 1; 0 if the fault belongs to no line
	Field string // path such as partner[2].rate; empty if the text can't be parsed
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

// Errors has all faults of a file in the order of its lines.
type Errors []*Error

func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// maxFileBytes is the maximum size of a configuration file in bytes.
const maxFileBytes = 64 << 20

// Load reads a file, sets the defaults of keys that it leaves out, and checks it. The error is
// of type [Errors], unless the file can't be read.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("config: %s: over %d bytes", path, maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return Parse(path, text)
}

// Parse reads the text of a file. The path is used in errors.
func Parse(path string, text []byte) (*File, error) {
	f := &File{path: path}
	lines, entries, err := indexKeys(text)
	if err != nil {
		return nil, Errors{syntaxError(path, text, err)}
	}
	f.lines = lines
	var errs Errors
	reported := map[string]bool{}
	for _, e := range entries {
		if name, prefix, suggestion := unknownKey(e.path); name != "" && !reported[prefix] {
			reported[prefix] = true
			text := fmt.Sprintf("unknown key %q", name)
			if suggestion != "" {
				text += fmt.Sprintf("; did you mean %q?", suggestion)
			}
			errs = append(errs, &Error{path, e.line, prefix, text})
		}
	}
	errs = append(errs, decode(f, slices.Clone(text), entries)...)
	f.fill()
	if len(errs) == 0 {
		errs = f.check()
	} else { // a key that is unknown or could not be decoded must not be reported again as missing
		seen := map[int]bool{}
		for _, e := range errs {
			seen[e.Line] = true
		}
		for _, e := range f.check() {
			if e.Line > 0 && !seen[e.Line] && f.lines[e.Field] > 0 {
				errs = append(errs, e)
			}
		}
	}
	if len(errs) > 0 {
		slices.SortStableFunc(errs, func(a, b *Error) int { return a.Line - b.Line })
		return nil, errs
	}
	return f, nil
}

// decode decodes the text into f. It overwrites a value of the wrong type with blanks in the
// text and decodes again, so that it reports all of them.
func decode(f *File, text []byte, entries []entry) (errs Errors) {
	for range len(entries) + 1 {
		err := toml.Unmarshal(text, f)
		if err == nil {
			return errs
		}
		var decodeErr *toml.DecodeError
		if !errors.As(err, &decodeErr) {
			return append(errs, &Error{Path: f.path, Text: err.Error()})
		}
		errLine, _ := decodeErr.Position()
		i := -1
		for k, e := range entries {
			if e.line <= errLine && !e.table {
				i = k
			}
		}
		if i < 0 {
			return append(errs, &Error{f.path, errLine, "", strings.TrimPrefix(decodeErr.Error(), "toml: ")})
		}
		errs = append(errs, &Error{f.path, errLine, entries[i].path, strings.TrimPrefix(decodeErr.Error(), "toml: ")})
		end := len(text)
		if i+1 < len(entries) { // the offset of a table header is that of its name, behind the brackets
			if end = entries[i+1].offset; entries[i+1].table {
				end = bytes.LastIndexByte(text[:end], '\n')
			}
		}
		for k := entries[i].offset; k < end; k++ {
			if text[k] != '\n' && text[k] != '\r' {
				text[k] = ' '
			}
		}
		*f = File{path: f.path, lines: f.lines}
	}
	return errs
}

// syntaxError returns an error with the line at which the text can't be parsed.
func syntaxError(path string, text []byte, err error) *Error {
	var decodeErr *toml.DecodeError
	var f File
	if e := toml.Unmarshal(text, &f); errors.As(e, &decodeErr) {
		line, _ := decodeErr.Position()
		return &Error{path, line, "", strings.TrimPrefix(decodeErr.Error(), "toml: ")}
	}
	return &Error{Path: path, Text: err.Error()}
}
