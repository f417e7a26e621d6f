// Package httpfront is the front for clients that speak HTTP/1.1 or HTTP/2:
// messages one by one or in batches, their states, and a stream of ends.
package httpfront
