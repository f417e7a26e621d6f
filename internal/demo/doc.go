// Package demo runs a daemon against scripted partners on loopback, sends it
// traffic through both fronts, and shows by partner what became of it.
package demo
