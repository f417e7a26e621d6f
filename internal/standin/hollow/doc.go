// Package hollow runs many senders in one process, to see how what they tell each
// other grows with their number. Each has the real packages that decide (view, facts,
// replicate) behind the real package cluster, with its sockets and codec, a loopback
// address and a folder of its own, a configuration that package config has checked,
// and a clock that begins anywhere and runs a little fast or slow. Package cluster
// is given a [cluster.Hooks]: faults between directed pairs and counts of bytes are at
// its sockets.
//
// Hollow is what is not there, and so is not measured:
//   - no clients, calls, partners, backlog and journal: what a sender needs for
//     control only, and no decision ever waits behind work;
//   - no guard, which is a process of its own: a paused sender cannot be told from one
//     that is cut off, and a real one has a second process of some 1 MB;
//   - one garbage collector, one scheduler and one page table for all: processor time
//     and memory are those of the process over the number of senders, and a pause of
//     the process is one of all senders, which none of them can find out from another;
//   - loopback: no delay but the scheduler's, no loss but that of full buffers, no
//     headers below IP; a datagram is counted with 28 bytes of IP and UDP (RFC 791, RFC
//     768), a probe's stream by what it carries;
//   - a kill closes sockets as a dead process's kernel does, but frees no memory.
//
// The same plays run in virtual time on package view/play, beyond what the machine's
// processors carry: there are no sockets, no codec and no facts there, and processor
// time means nothing.
package hollow
