// Package config reads the files and variables that set the program up, and
// checks them.
package config
