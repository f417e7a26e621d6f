package clock

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wallTime matches code that converts to or from a time of the wall clock. time.Now is not one: its result has a
// monotonic reading, which comparisons use.
var wallTime = regexp.MustCompile(`\.Unix(Micro|Milli|Nano)?\(|time\.(Date|Unix|UnixMicro|UnixMilli|Parse)\(|http\.ParseTime\(|\.Round\(0\)|\.(UTC|Local)\(\)|\.Wall\(`)

// forOthers lists by file the code that formats times for people and other programs, or parses theirs.
var forOthers = map[string]string{
	"internal/core/step.go":             "end.At = c.clock.Wall(end.At).UnixMicro()",                                          // ends, as reported to sinks
	"internal/core/submit.go":           "return c.clock.Wall(us)",                                                            // states
	"internal/core/relay.go":            "return time.UnixMicro(us)",                                                          // states, from another process
	"internal/core/inherit.go":          "return t.UnixMicro()",                                                               // states, to another process
	"internal/front/http/front.go":      "s[i] = fmt.Sprint(info.ModTime().UnixNano(), info.Size())",                          // detects a changed certificate file
	"internal/front/http/messages.go":   "t = t.UTC() t, err := time.Parse(time.RFC3339, q.deadline)",                         // states; deadlines that clients give as dates
	"internal/front/resp/commands.go":   "add(t.name, t.at.UTC().Format(time.RFC3339Nano))",                                   // states
	"internal/transport/http/answer.go": `at, err := http.ParseTime(text) if sent, err := http.ParseTime(header.Get("Date"))`, // Retry-After
}

// Decisions must not depend on the wall clock: only code that formats or parses times for others may convert them.
func TestWallTimeIsForOthersOnly(t *testing.T) {
	top := filepath.Join("..", "..")
	for _, dir := range strings.Fields("core journal backlog handover front transport source lifecycle store permit") {
		err := filepath.WalkDir(filepath.Join(top, "internal", dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			name, _ := filepath.Rel(top, path)
			for i, line := range strings.Split(string(text), "\n") {
				code, _, _ := strings.Cut(line, "//")
				code = strings.TrimSpace(code)
				if wallTime.MatchString(code) &&
					!strings.Contains(forOthers[filepath.ToSlash(name)], strings.TrimSuffix(code, "; err == nil {")) {
					t.Errorf("%s:%d converts to or from a time of the wall clock: %s", name, i+1, code)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
