// Package httpfront is the front for clients that speak HTTP/1.1 or HTTP/2. Clients submit messages one by one or in
// batches, query their states, and follow a stream of ends.
package httpfront
