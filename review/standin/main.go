//go:build review

// Command standin plays the cases of the review: it starts a small deployment with the
// project's programs, stand-ins for servers, clients and the operator, and checks a rule.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(*system){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	cases[os.Args[1]](newSystem(os.Args[2]))
}
