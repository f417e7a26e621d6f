// Package index maps keys to values of one type in memory that the garbage collector does not scan. Each entry takes
// about the key's length plus four thirds of the value's size.
package index
