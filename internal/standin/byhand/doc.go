// Package byhand is a partner's endpoint whose every call a test answers by hand,
// with what the tests share to wait for events.
package byhand
