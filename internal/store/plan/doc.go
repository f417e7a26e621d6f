// Package plan decides for a store which segment to compact, when to compact, and whether a write fits. It does no I/O
// and holds no state.
package plan
