package config

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions tells where in a file a key stands. Paths read as in
// "partner[2].endpoints".
type positions map[string]int

// line finds the line of a path, or of the nearest thing around it.
func (p positions) line(path string) int {
	for path != "" {
		if n, ok := p[path]; ok {
			return n
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 0
}

// entry is one key with its value in the text, or the head of a table.
type entry struct {
	path  string
	line  int
	from  int // offset of the key
	table bool
}

// index lists the keys of a file that can be parsed.
func index(text []byte) (positions, []entry, error) {
	at := positions{}
	var list []entry
	arrays := map[string]int{} // elements of each array of tables
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		path, from := "", -1
		if e.Kind == unstable.KeyValue {
			path = prefix
		}
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if from < 0 {
				from = int(n.Raw.Offset)
			}
			path = join(path, string(n.Data))
			if !it.IsLast() {
				path = last(path, arrays)
			}
		}
		line := 1 + bytes.Count(text[:max(from, 0)], []byte("\n"))
		switch e.Kind {
		case unstable.Table:
			prefix = last(path, arrays)
		case unstable.ArrayTable:
			at.note(path, line)
			arrays[path]++
			prefix = last(path, arrays)
			path = prefix
		case unstable.KeyValue:
			list = append(list, entry{path, line, from, false})
			at.value(path, line, e.Value())
		}
		if e.Kind != unstable.KeyValue {
			list = append(list, entry{path, line, from, true})
		}
		at.note(path, line)
	}
	return at, list, p.Error()
}

func (p positions) note(path string, line int) {
	if _, ok := p[path]; !ok {
		p[path] = line
	}
}

// value notes what stands within a value.
func (p positions) value(path string, line int, v *unstable.Node) {
	switch v.Kind {
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			at := fmt.Sprintf("%s[%d]", path, i)
			p.note(at, line)
			p.value(at, line, it.Node())
		}
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			kv := it.Node()
			at := path
			for k := kv.Key(); k.Next(); {
				at = join(at, string(k.Node().Data))
			}
			p.note(at, line)
			p.value(at, line, kv.Value())
		}
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// last is the element of an array of tables that a path means in a header or key.
func last(path string, arrays map[string]int) string {
	if n := arrays[path]; n > 0 {
		return fmt.Sprintf("%s[%d]", path, n-1)
	}
	return path
}

// names lists the keys that a struct has, by toml tag.
func names(t reflect.Type) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		if tag := f.Tag.Get("toml"); tag != "" {
			out[tag] = f.Type
		}
	}
	return out
}

// unknown says which part of a path is no key of File, where that part ends, and
// what it may have been meant for; empty if all are known.
func unknown(path string) (name, upto, near string) {
	t := reflect.TypeFor[File]()
	parts := strings.Split(path, ".")
	for i, part := range parts {
		upto = strings.Join(parts[:i+1], ".")
		part, _, _ = strings.Cut(part, "[")
		for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return part, upto, ""
		}
		known := names(t)
		next, ok := known[part]
		if !ok {
			return part, upto, nearest(part, known)
		}
		t = next
	}
	return "", "", ""
}

// nearest is the known name that takes the fewest edits, if these are few.
func nearest(name string, known map[string]reflect.Type) string {
	best, least := "", max(len(name)/2, 2)+1
	for k := range known {
		if d := distance(name, k); d < least || d == least && best != "" && k < best {
			best, least = k, d
		}
	}
	return best
}

// distance counts the letters to insert, drop or change to turn a into b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		prev := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := prev
			if a[i] != b[j] {
				cost++
			}
			prev = row[j+1]
			row[j+1] = min(cost, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}
