package journal

import "fmt"

// Description is a record of the store in readable form, as `cometrack store dump` prints it.
type Description struct {
	Kind  string `json:"what"` // message, state, wait, partner, terms, terms in force or passed
	ID    string `json:"id"`   // the record's key without its prefix, such as the message's id or the endpoint's name
	Value any    `json:"value"`
}

// Describe decodes a record of a journal's store. It fails on an unknown prefix of the key.
func Describe(key string, value []byte) (Description, error) {
	if key == "" {
		return Description{}, fmt.Errorf("record with an empty key")
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
	case keyTermsInForce:
		d.Kind, d.Value = "terms in force", &termsInForceRecord{}
	case keyLeftBacklog:
		d.Kind = "passed"
		p := newSeqSet()
		d.Value = value
		return d, p.load(d.ID, value)
	default:
		return d, fmt.Errorf("record %q is of an unknown kind", key)
	}
	return d, decode(key, value, d.Value)
}
