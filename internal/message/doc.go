// Package message defines a message as a client submits it and the end of a message
// (delivered, returned or failed).
package message
