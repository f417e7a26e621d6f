// Package demo runs a daemon against scripted partners on loopback, submits
// messages through both fronts, and prints their final states by partner.
package demo
