// Package facts holds what senders know of partners and tell each other: one copy of
// it, the join of copies, and the rules for what different senders say of the same
// thing. It has no clock and no I/O: time is passed in.
//
// Each sender writes facts of its own only, each under a number that grows (its
// dot), one fact for each subject, the newest in the place of the one before. So a
// join of copies takes of each sender and subject the fact with the higher number:
// it is commutative, associative and idempotent, and needs no clock. What different
// senders say of a subject stands side by side in each copy; what holds of it is
// found by the rules in rules.go, of the whole set, so that equal copies tell the
// same. See docs/design/knowledge.md.
package facts
