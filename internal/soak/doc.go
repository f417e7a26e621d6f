// Package soak runs a fleet of real processes of the program under random,
// overlapping faults and judges by what clients, endpoints and the platform saw
// whether the invariants held. The faults are drawn from a seed. The judge shares
// no code with the program: it knows the protocol and the records only.
package soak
