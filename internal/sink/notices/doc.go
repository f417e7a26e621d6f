// Package notices is the end sink that posts to the platform how messages ended and repeats each notice
// until it is confirmed.
package notices
