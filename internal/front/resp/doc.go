// Package resp is the front for clients that speak RESP2. Lengths that a client sends are checked before memory is
// allocated for them.
package resp
