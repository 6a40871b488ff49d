// Package standard imports the modules that the heatherway binary ships with.
package standard
