package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// optionalKeys are the paths of the keys of the configuration that a file may leave out, as the description of the
// settings says of each. In a path, [] stands for any element of a list.
var optionalKeys = map[string]bool{
	"settings.classes[].aim_stretch": true,
	"settings.classes[].keep_order":  true,
	"settings.rules.key_quiet_s":     true,
}

// keyPath is the path of a JSON value in a configuration.
type keyPath struct {
	text    string // for a person, as in classes[2].name
	pattern string // for optionalKeys, as in classes[].name
}

// child returns the path of the value of a key.
func (p keyPath) child(key string) keyPath {
	if p.text == "" {
		return keyPath{key, key}
	}
	return keyPath{p.text + "." + key, p.pattern + "." + key}
}

// element returns the path of an element of a list.
func (p keyPath) element(i int) keyPath {
	return keyPath{fmt.Sprintf("%s[%d]", p.text, i), p.pattern + "[]"}
}

// missingKey returns the path of a key that the old JSON value has and the next one lacks, or an empty string. In a
// list of objects each next object needs the keys that all old objects have. No key of optionalKeys is needed.
func missingKey(old, next any, path keyPath) string {
	if old == nil || next == nil && optionalKeys[path.pattern] {
		return ""
	}
	switch old := old.(type) {
	case map[string]any:
		next, ok := next.(map[string]any)
		if !ok {
			return path.text
		}
		return missingKeyOfObject(old, next, path)
	case []any:
		next, ok := next.([]any)
		if !ok {
			return path.text
		}
		return missingKeyOfList(old, next, path)
	default:
		if next == nil {
			return path.text
		}
	}
	return ""
}

// missingKeyOfObject is missingKey for two objects.
func missingKeyOfObject(old, next map[string]any, path keyPath) string {
	for _, key := range slices.Sorted(maps.Keys(old)) {
		child := path.child(key)
		value, ok := next[key]
		if !ok && !optionalKeys[child.pattern] {
			return child.text
		}
		if name := missingKey(old[key], value, child); name != "" {
			return name
		}
	}
	return ""
}

// missingKeyOfList is missingKey for two lists.
func missingKeyOfList(old, next []any, path keyPath) string {
	common := commonKeys(old)
	if len(common) == 0 {
		return ""
	}
	for i, value := range next {
		if name := missingKey(common, value, path.element(i)); name != "" {
			return name
		}
	}
	return ""
}

// commonKeys returns the keys that all objects of a list have, without values. It is empty if
// an element is no object.
func commonKeys(list []any) map[string]any {
	out := map[string]any{}
	for i, x := range list {
		m, ok := x.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			for key := range m {
				out[key] = nil
			}
		}
		maps.DeleteFunc(out, func(key string, _ any) bool { _, ok := m[key]; return !ok })
	}
	return out
}

// CheckReload returns an error if the next configuration cannot replace this one while the
// sender runs. The next one needs every key that this one has and that is not optional, and the
// limits below must be over 0.
func (p *Platform) CheckReload(next *Platform) error {
	var oldTree, nextTree any
	if err := json.Unmarshal(p.text, &oldTree); err != nil {
		return err
	}
	if err := json.Unmarshal(next.text, &nextTree); err != nil {
		return err
	}
	if key := missingKey(oldTree, nextTree, keyPath{}); key != "" {
		return fmt.Errorf("%s: missing, but set in the configuration in use", key)
	}
	settings := next.Deployment.Settings
	for _, x := range []struct {
		field string
		n     float64
	}{{"settings.limits.max_attempts", float64(settings.MaxAttempts)},
		{"settings.limits.max_open", float64(settings.MaxOpen)},
		{"settings.specifics.call_slots", float64(settings.Slots)}, {"limits.memory_mb", next.Limits.MemoryMB},
		{"limits.sockets", float64(next.Limits.Sockets)}, {"limits.disk_mb", next.Limits.DiskMB}} {
		if x.n <= 0 {
			return fmt.Errorf("%s: %v is not over 0", x.field, x.n)
		}
	}
	return nil
}
