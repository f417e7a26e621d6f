package load

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Bounds of a scenario.
const (
	MaxDuration = 24 * time.Hour // of a phase, and of a message's time to its deadline
	MaxRate     = 1e6            // messages a second
	MaxBurst    = 1_000_000      // messages
	MaxBody     = 64 << 10       // bytes
)

// Duration is a duration that the scenario has as text: "250ms", "2s".
type Duration time.Duration

// Seconds returns the duration in seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }

// UnmarshalText parses text in the format of [time.ParseDuration].
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no span of time such as \"250ms\" or \"2s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Scenario describes the load of a run. The same scenario gives the same messages.
type Scenario struct {
	Seed uint64 `toml:"seed"`
	// InFlight is the maximum number of messages without a reply. The schedule never waits:
	// messages due above the limit are dropped, and the run fails.
	InFlight int `toml:"in_flight"`
	// Late is the maximum lateness of the load generator itself, at the 99.9th percentile. A run
	// above it is not valid.
	Late   Duration `toml:"late"`
	Phases []Phase  `toml:"phase"`
	Mix    []Kind   `toml:"mix"`
}

// Spacing is the distribution of the gaps between messages at a phase's rate.
type Spacing string

// The spacings: equal gaps, or exponentially distributed ones (a Poisson process).
const (
	Even    Spacing = "even"    // equal gaps
	Poisson Spacing = "poisson" // exponentially distributed gaps
)

// Phase is a part of a scenario with one shape of the rate.
type Phase struct {
	Name    string   `toml:"name"`
	Shape   Shape    `toml:"shape"`
	Spacing Spacing  `toml:"spacing"`
	For     Duration `toml:"for"`
	Rate    float64  `toml:"rate"`   // messages a second
	To      float64  `toml:"to"`     // messages a second; see the shapes
	Steps   int      `toml:"steps"`  // number of rates of the shape step
	Period  Duration `toml:"period"` // of the shape wave
	Burst   int      `toml:"burst"`  // additional messages at one instant ...
	Every   Duration `toml:"every"`  // ... with this period, the first after one period
}

// Kind is a kind of message with its part in the mix.
type Kind struct {
	Weight   float64  `toml:"weight"` // relative to the other kinds
	Front    string   `toml:"front"`  // resp or http
	Class    string   `toml:"class"`
	Tenant   string   `toml:"tenant"`
	Partners []string `toml:"partners"` // chosen uniformly
	Size     int      `toml:"size"`     // of the body in bytes
	Left     Duration `toml:"left"`     // time to the deadline; over HTTP 0 for that of the class
	Order    int      `toml:"order"`    // number of order keys; 0 for messages without one
}

// FieldError is an invalid field of a scenario.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// Parse reads a scenario and sets its defaults. An error names the field, and the line if that
// is known.
func Parse(text []byte) (*Scenario, error) {
	s := &Scenario{}
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(s)
	var strict *toml.StrictMissingError
	var syntax *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		e := strict.Errors[0]
		line, _ := e.Position()
		return nil, fmt.Errorf("scenario: line %d: unknown field %s", line, strings.Join(e.Key(), "."))
	case errors.As(err, &syntax):
		line, column := syntax.Position()
		return nil, fmt.Errorf("scenario: line %d, column %d: %w", line, column, err)
	case err != nil:
		return nil, fmt.Errorf("scenario: %w", err)
	}
	s.defaults()
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return s, nil
}

// defaults sets the fields that the scenario leaves out.
func (s *Scenario) defaults() {
	if s.InFlight == 0 {
		s.InFlight = 10_000
	}
	if s.Late == 0 {
		s.Late = Duration(time.Millisecond)
	}
	for i := range s.Phases {
		p := &s.Phases[i]
		if p.Shape == "" {
			p.Shape = Constant
		}
		if p.Spacing == "" {
			p.Spacing = Even
		}
		if p.Name == "" {
			p.Name = fmt.Sprint(i + 1)
		}
	}
	for i := range s.Mix {
		k := &s.Mix[i]
		if k.Weight == 0 {
			k.Weight = 1
		}
		if k.Front == "" {
			k.Front = "resp"
		}
	}
}

// Check returns a [FieldError] for the first invalid field.
func (s *Scenario) Check() error {
	switch {
	case s.InFlight < 1:
		return &FieldError{"in_flight", "must be at least 1"}
	case s.Late < 0:
		return &FieldError{"late", "must not be negative"}
	case len(s.Phases) == 0:
		return &FieldError{"phase", "there is none"}
	case len(s.Mix) == 0:
		return &FieldError{"mix", "there is none"}
	}
	names := map[string]bool{}
	for i := range s.Phases {
		p := &s.Phases[i]
		if names[p.Name] {
			return &FieldError{fmt.Sprintf("phase[%d].name", i), fmt.Sprintf("%q is taken", p.Name)}
		}
		names[p.Name] = true
		if err := p.check(); err != nil {
			return prefixField(fmt.Sprintf("phase[%d]", i), err)
		}
	}
	for i := range s.Mix {
		if err := s.Mix[i].check(); err != nil {
			return prefixField(fmt.Sprintf("mix[%d]", i), err)
		}
	}
	return nil
}

// prefixField adds the path of the enclosing object to a [FieldError].
func prefixField(path string, err error) error {
	var fieldErr *FieldError
	if errors.As(err, &fieldErr) {
		return &FieldError{path + "." + fieldErr.Field, fieldErr.Reason}
	}
	return err
}

func (k *Kind) check() error {
	switch {
	case !(k.Weight > 0) || k.Weight > 1e9:
		return &FieldError{"weight", "must be above 0"}
	case k.Front != "resp" && k.Front != "http":
		return &FieldError{"front", fmt.Sprintf("%q is neither resp nor http", k.Front)}
	case k.Class == "":
		return &FieldError{"class", "must be given"}
	case len(k.Partners) == 0:
		return &FieldError{"partners", "there is none"}
	case k.Size < 0 || k.Size > MaxBody:
		return &FieldError{"size", fmt.Sprintf("not within 0 and %d bytes", MaxBody)}
	case k.Left < 0 || time.Duration(k.Left) > MaxDuration:
		return &FieldError{"left", fmt.Sprintf("not within 0 and %v", MaxDuration)}
	case k.Left < Duration(time.Millisecond) && k.Front == "resp":
		return &FieldError{"left", "must be given over RESP2"}
	case k.Order < 0:
		return &FieldError{"order", "must not be negative"}
	}
	return nil
}
