// Package handover transfers the work of a sender to a successor process: the messages
// exchanged, the Unix socket in the journal's folder that carries them, and the decision
// which process owns the journal if the transfer fails midway.
package handover
