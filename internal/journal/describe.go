package journal

import "fmt"

// Description is a record as a person may read it.
type Description struct {
	Kind  string `json:"what"` // message, state, wait, partner or terms
	ID    string `json:"id"`   // of the message; of a wait, the endpoint's name; of a partner, its own
	Value any    `json:"value"`
}

// Describe reads a record of the store beneath a journal.
func Describe(key string, value []byte) (Description, error) {
	if key == "" {
		return Description{}, fmt.Errorf("a record without a key")
	}
	d := Description{ID: key[1:]}
	switch key[:1] {
	case keyMessage:
		d.Kind, d.Value = "message", &messageRecord{}
	case keyState:
		d.Kind, d.Value = "state", &stateRecord{}
	case keyWait:
		d.Kind, d.Value = "wait", &waitRecord{}
	case keyPartner:
		d.Kind, d.Value = "partner", &Partner{}
	case keyTerms:
		d.Kind, d.Value = "terms", &Terms{}
	case keyPassed:
		d.Kind = "passed"
		p := newPassed()
		d.Value = value
		return d, p.load(d.ID, value)
	default:
		return d, fmt.Errorf("record %q is of no kind that this program knows", key)
	}
	return d, decode(key, value, d.Value)
}
