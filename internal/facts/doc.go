// Package facts implements the replicated store of what senders have found out about
// partners: waits that endpoints requested and the health of endpoints. It contains one
// replica of the facts, the merge of replicas, and the rules that combine the facts of
// several senders about one subject. It has no clock and performs no I/O; callers pass
// the time in.
//
// Each sender writes only its own facts. It gives each one a growing sequence number
// (its dot), and a newer fact replaces the sender's older one about the same subject. A
// merge keeps, for each sender and subject, the fact with the highest sequence number,
// so it is commutative, associative and idempotent and does not depend on clocks. Facts
// of different senders about one subject are stored side by side in each replica. The
// rules in rules.go evaluate all of them together, so equal replicas give equal results.
// See docs/design/knowledge.md.
package facts
