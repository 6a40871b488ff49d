// Command heatherway runs the roles that its settings file lists.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/result"

	_ "heatherway.dev/heatherway/modules/standard" // registers the modules of this program
)

// Exit statuses, documented in docs/OPERATIONS.md.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := newCommand(os.Stdout).ParseAndRun(ctx, os.Args[1:])
	stop()
	os.Exit(exitStatus(err, os.Stderr))
}

func exitStatus(err error, stderr io.Writer) int {
	if err == nil || errors.Is(err, context.Canceled) {
		return exitOK
	}
	var known *result.Error
	if !errors.As(err, &known) {
		fmt.Fprintln(stderr, "heatherway:", err)
		return exitFailed
	}
	fmt.Fprintln(stderr, "heatherway:", known.Error())
	if known.Code < result.StartFailed {
		return exitSettings
	}
	return exitFailed
}
