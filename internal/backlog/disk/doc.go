// Package disk is the room behind the window: messages in files, in the order in
// which they came, with an index block for each file once it is full. What comes
// back and when is decided by package backlog; see docs/design/backlog.md.
package disk
