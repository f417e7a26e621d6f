// Package resp is the front for clients that speak RESP2. Its reader takes no
// memory by the client's word before it has checked it.
package resp
