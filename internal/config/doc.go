// Package config reads and checks the configuration files and environment variables of the
// program: the TOML file of a standalone daemon, and the JSON file of the platform.
package config
