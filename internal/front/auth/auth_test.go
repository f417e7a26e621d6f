package auth

import (
	"testing"

	"cometrack/internal/config"
)

// Only a complete token is accepted, and only for its own tenant: no prefix, extension or other case of it.
func TestTenant(t *testing.T) {
	tokens := New([]config.Tenant{{Name: "a", Tokens: []string{"token-of-a-number-1", "token-of-a-number-2"}},
		{Name: "b", Tokens: []string{"token-of-b-number-1"}}, {Name: "c"}})
	for text, want := range map[string]string{"token-of-a-number-1": "a", "token-of-a-number-2": "a",
		"token-of-b-number-1": "b",
		"":                    "", "token-of-a-number-": "", "token-of-a-number-1 ": "",
		"token-of-a-number-12": "", "TOKEN-OF-A-NUMBER-1": ""} {
		if got, ok := tokens.Tenant(text); got != want || ok != (want != "") {
			t.Errorf("%q: %q, %v", text, got, ok)
		}
	}
}
