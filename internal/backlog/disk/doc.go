// Package disk stores spilled messages in segment files, in the order in which they were
// spilled. A segment that is full gets an index block in a file beside it. Package
// backlog decides which messages are read back, and when; see docs/design/backlog.md.
package disk
