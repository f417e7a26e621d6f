package journal

import "fmt"

// Described is a record as a person may read it.
type Described struct {
	What  string `json:"what"` // message, state, wait, partner or terms
	ID    string `json:"id"`   // of the message; of a wait, the endpoint's name; of a partner, its own
	Value any    `json:"value"`
}

// Describe reads a record of the store beneath a journal.
func Describe(key string, value []byte) (Described, error) {
	if key == "" {
		return Described{}, fmt.Errorf("a record without a key")
	}
	d := Described{ID: key[1:]}
	switch key[:1] {
	case keyMessage:
		d.What, d.Value = "message", &messageRecord{}
	case keyState:
		d.What, d.Value = "state", &stateRecord{}
	case keyWait:
		d.What, d.Value = "wait", &waitRecord{}
	case keyPartner:
		d.What, d.Value = "partner", &Partner{}
	case keyTerms:
		d.What, d.Value = "terms", &Terms{}
	case keyPassed:
		d.What = "passed"
		p := newPassed()
		d.Value = value
		return d, p.load(d.ID, value)
	default:
		return d, fmt.Errorf("record %q is of no kind that this program knows", key)
	}
	return d, decode(key, value, d.Value)
}
