// Package view maintains one sender's view of the cluster: which other senders exist, which of them are alive, and
// which share of each partner's rate this sender may use. It has no clock and does no I/O: the caller passes the time
// in and carries out the [Actions] that come out.
//
// The shares of all senders, paused and partitioned ones included, never add up to more than one rate. Each sender
// always has its minimum share. The rest is leased by grants: a sender is active while it holds grants of a majority
// of the senders that are not proven to have ended, each for one lease. A granter sends with each grant its roster,
// the senders that it grants to, and grants to a new one only once all holders of its grants count that sender. Any
// two majorities have a granter in common, so any two active senders count each other, and the sum of
// 1/(senders counted) is at most one. See docs/design/cluster.md.
package view
