// Package soak runs a fleet of real processes of the program under random, overlapping faults and checks
// invariants against what clients, endpoints and the platform observed. The faults are drawn from a seed. The
// judge shares no code with the program; it depends on the protocol and the records only.
package soak
