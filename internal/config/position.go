package config

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions has the line of each key of a file by its path, such as "partner[2].endpoints".
type positions map[string]int

// line returns the line of a path or else of the nearest enclosing one; 0 if there is none.
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

// entry is one key with its value in the text, or the header of a table.
type entry struct {
	path   string
	line   int
	offset int // of the key, in bytes
	table  bool
}

// indexKeys returns the lines of all keys, and the keys and table headers in their order.
func indexKeys(text []byte) (positions, []entry, error) {
	lines := positions{}
	var entries []entry
	arrays := map[string]int{} // number of elements of each array of tables
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		path, offset := "", -1
		if e.Kind == unstable.KeyValue {
			path = prefix
		}
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if offset < 0 {
				offset = int(n.Raw.Offset)
			}
			path = join(path, string(n.Data))
			if !it.IsLast() {
				path = lastElement(path, arrays)
			}
		}
		line := 1 + bytes.Count(text[:max(offset, 0)], []byte("\n"))
		switch e.Kind {
		case unstable.Table:
			prefix = lastElement(path, arrays)
		case unstable.ArrayTable:
			lines.add(path, line)
			arrays[path]++
			prefix = lastElement(path, arrays)
			path = prefix
		case unstable.KeyValue:
			entries = append(entries, entry{path, line, offset, false})
			lines.addValue(path, line, e.Value())
		}
		if e.Kind != unstable.KeyValue {
			entries = append(entries, entry{path, line, offset, true})
		}
		lines.add(path, line)
	}
	return lines, entries, p.Error()
}

// add records the line of a path; the first line of a path counts.
func (p positions) add(path string, line int) {
	if _, ok := p[path]; !ok {
		p[path] = line
	}
}

// addValue records the lines of the elements of arrays and the keys of inline tables in a value.
func (p positions) addValue(path string, line int, v *unstable.Node) {
	switch v.Kind {
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			element := fmt.Sprintf("%s[%d]", path, i)
			p.add(element, line)
			p.addValue(element, line, it.Node())
		}
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			kv := it.Node()
			key := path
			for k := kv.Key(); k.Next(); {
				key = join(key, string(k.Node().Data))
			}
			p.add(key, line)
			p.addValue(key, line, kv.Value())
		}
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// lastElement returns the path of the last element if the path is an array of tables: headers
// and keys refer to that element.
func lastElement(path string, arrays map[string]int) string {
	if n := arrays[path]; n > 0 {
		return fmt.Sprintf("%s[%d]", path, n-1)
	}
	return path
}

// tomlKeys returns the types of a struct's fields by their toml tag.
func tomlKeys(t reflect.Type) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		if tag := f.Tag.Get("toml"); tag != "" {
			out[tag] = f.Type
		}
	}
	return out
}

// unknownKey returns the first name in a path that is no key of [File], the path up to and
// including it, and the known key that is most similar to it. They are empty if the path is known.
func unknownKey(path string) (name, prefix, suggestion string) {
	t := reflect.TypeFor[File]()
	parts := strings.Split(path, ".")
	for i, part := range parts {
		prefix = strings.Join(parts[:i+1], ".")
		part, _, _ = strings.Cut(part, "[")
		for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return part, prefix, ""
		}
		known := tomlKeys(t)
		next, ok := known[part]
		if !ok {
			return part, prefix, nearestKey(part, known)
		}
		t = next
	}
	return "", "", ""
}

// nearestKey returns the known name with the fewest edits from name; empty if that takes too many.
func nearestKey(name string, known map[string]reflect.Type) string {
	best, fewest := "", max(len(name)/2, 2)+1
	for k := range known {
		if d := editDistance(name, k); d < fewest || d == fewest && best != "" && k < best {
			best, fewest = k, d
		}
	}
	return best
}

// editDistance returns the number of bytes to insert, delete or replace to turn a into b
// (Levenshtein distance).
func editDistance(a, b string) int {
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
