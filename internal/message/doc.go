// Package message holds what every part of the program knows of a message: what
// a client handed in and how it ended.
package message
