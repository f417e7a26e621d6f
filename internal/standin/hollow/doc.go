// Package hollow runs many senders in one process, to measure how the control traffic
// between them grows with their number. Each sender has the real packages that decide
// (view, facts, replicate) behind the real package cluster, with its sockets and codec,
// a loopback address and a state folder of its own, a configuration checked by package
// config, and a clock with a random offset and a small rate error. [cluster.Hooks] inject
// faults between directed pairs and count bytes at the sockets.
//
// The measurement leaves out the following:
//   - clients, calls, partners, backlog and journal: only the control part of a sender
//     runs, so no decision ever waits behind other work;
//   - the guard, which is a separate process: a paused sender cannot be told from one
//     that is cut off, and a real sender has a second process of some 1 MB;
//   - separate processes: all senders share a garbage collector, a scheduler and a page
//     table. Processor time and memory are those of the process divided by the number of
//     senders, and a pause of the process pauses all of them, which none can detect from
//     another;
//   - a real network: loopback has no delay but that of the scheduler, no loss but that of
//     full buffers, and no headers below IP. A datagram counts with 28 bytes of IP and UDP
//     headers (RFC 791, RFC 768), the stream of a probe with its payload;
//   - the memory freed by a kill: it closes the sockets as the kernel does for a dead
//     process, but frees no memory.
//
// The same faults can run in virtual time on package view/play, for more senders than the
// processors of the machine can run. There are no sockets, codec or facts there, and
// processor time is meaningless.
package hollow
