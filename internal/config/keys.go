package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// missingKey returns the path of a key that the old JSON value has and the next one lacks, or
// an empty string. In a list of objects each next object needs the keys that all old objects
// have.
func missingKey(old, next any, path string) string {
	if old == nil {
		return ""
	}
	switch old := old.(type) {
	case map[string]any:
		next, ok := next.(map[string]any)
		if !ok {
			return path
		}
		for _, key := range slices.Sorted(maps.Keys(old)) {
			keyPath := key
			if path != "" {
				keyPath = path + "." + key
			}
			value, ok := next[key]
			if !ok {
				return keyPath
			}
			if name := missingKey(old[key], value, keyPath); name != "" {
				return name
			}
		}
	case []any:
		next, ok := next.([]any)
		if !ok {
			return path
		}
		common := commonKeys(old)
		for i, value := range next {
			if len(common) == 0 {
				break
			}
			if name := missingKey(common, value, fmt.Sprintf("%s[%d]", path, i)); name != "" {
				return name
			}
		}
	default:
		if next == nil {
			return path
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
// sender runs. The next one needs every key that this one has, and the limits below must be
// over 0.
func (p *Platform) CheckReload(next *Platform) error {
	var oldTree, nextTree any
	if err := json.Unmarshal(p.text, &oldTree); err != nil {
		return err
	}
	if err := json.Unmarshal(next.text, &nextTree); err != nil {
		return err
	}
	if key := missingKey(oldTree, nextTree, ""); key != "" {
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
