// Package vfs is the little of a file system that a store needs, with the real
// one and one in memory that crashes, tears, fails and fills up as a test says.
package vfs
