// Package notices is the end sink that posts to the platform how messages ended,
// until it has confirmed.
package notices
