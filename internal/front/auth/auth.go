// Package auth maps client tokens to tenants.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"

	"cometrack/internal/config"
)

// Tokens holds the tokens of all tenants.
type Tokens struct{ list []token }

type token struct {
	hash   [sha256.Size]byte
	tenant string
}

// New returns the tokens of the given tenants.
func New(tenants []config.Tenant) *Tokens {
	t := &Tokens{}
	for _, tenant := range tenants {
		for _, text := range tenant.Tokens {
			t.list = append(t.list, token{sha256.Sum256([]byte(text)), tenant.Name})
		}
	}
	return t
}

// Tenant returns the tenant of a token, and whether the token is known. It compares with all tokens in constant time,
// so that its duration reveals nothing about them.
func (t *Tokens) Tenant(text string) (tenant string, ok bool) {
	hash := sha256.Sum256([]byte(text))
	found := -1
	for i := range t.list {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(hash[:], t.list[i].hash[:]), i, found)
	}
	if found < 0 {
		return "", false
	}
	return t.list[found].tenant, true
}
