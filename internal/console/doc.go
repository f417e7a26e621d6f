// Package console serves the operators: HTTP/1.1 on an address of its own, one request per
// connection. It does not wait for the core, so it answers while the core is busy.
package console
