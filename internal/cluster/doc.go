// Package cluster connects a sender with its peers. It provides package view, which decides on
// membership and shares, with sockets, keys, a clock and a state file, replicates facts about
// partners by package replicate, and runs the guard, a small process that reports when its sender
// is paused.
package cluster
