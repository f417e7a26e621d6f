// Package vfs is the part of a file system that the stores need, with the real file system and one in memory that
// simulates crashes, torn writes, I/O errors and full disks for tests.
package vfs
