// Package index maps keys to values of one type in memory that the garbage
// collector need not look into, at about a key's own length and a third more than
// the value for each.
package index
