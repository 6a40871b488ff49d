package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/kernel"
	"heatherway.dev/kernel/settings"
)

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// startAdmin runs control with the administration API and returns its URL.
func startAdmin(t *testing.T) string {
	t.Helper()
	listen, control := freeAddr(t), freeAddr(t)
	doc, err := settings.Parse("test.yaml", fmt.Appendf(nil, `
instance: {id: c1, zone: z, region: r}
log: {level: error}
tls: {off: true}
roles:
- control: {listen: %q, bootstrap: {organisations: {demo: {keys: [demo]}}}}
- admin: {listen: %q, control: [%q]}
`, control, listen, control))
	assert.NilError(t, err)
	k, err := kernel.New(doc)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	url := "http://" + listen
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		var out bytes.Buffer
		if runCommand(t, &out, "config", "show", "--url", url) == exitOK && strings.Contains(out.String(), "demo") {
			return url
		}
		assert.Assert(t, time.Now().Before(end), "timed out")
	}
}

// Guards against subcommands whose calls the server rejects, and exit statuses
// that don't distinguish a conflict, a failure and wrong usage.
func TestChangesThroughTheAPI(t *testing.T) {
	url := startAdmin(t)
	by := func(name string, args ...string) []string {
		head := append(strings.Fields(name), "--url", url, "--author", "anna", "--reason", "flood")
		return append(head, args...)
	}
	key := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(key, []byte("secret\n"), 0o600))
	for _, step := range []struct {
		status int
		args   []string
	}{
		{exitOK, by("config set", "--wait", "--change-id", "first", "--base", "1", "queue.limit", "9")},
		{exitOK, by("config set", "--change-id", "first", "--base", "1", "queue.limit", "8")},
		{exitConflict, by("config set", "--base", "1", "queue.limit", "7")},
		{exitFailed, by("config set", "queue.limit", "none")},
		{exitUsage, []string{"config", "set", "--url", url, "--author", "anna", "queue.limit", "7"}},
		{exitUsage, by("config set", "queue.limit")},
		{exitUsage, by("config set", "--nonsense", "queue.limit", "7")},
		{exitOK, by("config unset", "queue.limit")},
		{exitFailed, by("config unset", "queue.limit")},
		{exitOK, by("exception put", "--organisation", "demo", "--until", "1h", "x", "organisation.rate", "100")},
		{exitUsage, by("exception put", "--organisation", "demo", "--until", "yesterday", "x", "organisation.rate", "100")},
		{exitOK, by("exception remove", "x")},
		{exitOK, by("organisation put", "cafe")},
		{exitOK, by("organisation add-key", "--key-file", key, "cafe")},
		{exitFailed, by("organisation add-key", "--key-file", key, "cafe")},
		{exitOK, by("organisation remove-key", "--key-file", key, "cafe")},
		{exitOK, by("organisation remove", "cafe")},
		{exitOK, by("order issue", "--model", "letters", "a1", "load_model")},
		{exitFailed, by("order issue", "a1", "load_model")},
		{exitFailed, by("drain", "missing")},
		{exitFailed, by("undrain", "missing")},
		{exitFailed, []string{"status", "--url", "http://127.0.0.1:1"}},
		{exitUsage, []string{"status", "--url", url, "--output", "xml"}},
	} {
		assert.Equal(t, runCommand(t, &bytes.Buffer{}, step.args...), step.status, "%v", step.args)
	}
	for _, name := range []string{
		"status", "instances", "upstreams", "member list", "config show", "config keys", "config history",
		"exception list", "organisation list", "quarantine list", "order list",
	} {
		var table, raw bytes.Buffer
		assert.Equal(t, runCommand(t, &table, append(strings.Fields(name), "--url", url)...), exitOK, name)
		assert.Assert(t, table.Len() > 0, name)
		assert.Equal(t, runCommand(t, &raw, append(strings.Fields(name), "--url", url, "--output", "json")...), exitOK, name)
		assert.Assert(t, json.Valid(raw.Bytes()), name)
	}
	var history bytes.Buffer
	assert.Equal(t, runCommand(t, &history, "config", "history", "--url", url), exitOK)
	assert.Assert(t, strings.Contains(history.String(), "conflict") && strings.Contains(history.String(), "first"), history.String())
}

// Guards against a settings file that passes the check but that a process
// rejects.
func TestConfigCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	for text, status := range map[string]int{
		"instance: {id: a, zone: z}\ntls: {off: true}\nroles: [{admin: {listen: 127.0.0.1:0, control: [127.0.0.1:1]}}]":           exitOK,
		"instance: {id: a, zone: z}\ntls: {off: true}\nroles: [{admin: {listen: 127.0.0.1:0}}]":                                   exitFailed,
		"instance: {id: a, zone: z}\ntls: {off: true}\nroles: [{admin: {listen: 127.0.0.1:0, control: [127.0.0.1:1], other: 1}}]": exitFailed,
	} {
		assert.NilError(t, os.WriteFile(path, []byte(strings.NewReplacer("127.0.0.1:0", `"127.0.0.1:0"`, "127.0.0.1:1", `"127.0.0.1:1"`).Replace(text)), 0o600))
		assert.Equal(t, runCommand(t, &bytes.Buffer{}, "config", "check", path), status, text)
	}
}

// Guards against certificates that TLS rejects, and against a second run that
// replaces the certificate authority.
func TestCerts(t *testing.T) {
	folder := t.TempDir()
	assert.Equal(t, runCommand(t, &bytes.Buffer{}, "certs", "--folder", folder, "--name", "anna", "--role", "operator"), exitOK)
	first, err := os.ReadFile(filepath.Join(folder, "ca.pem"))
	assert.NilError(t, err)
	assert.Equal(t, runCommand(t, &bytes.Buffer{}, "certs", "--folder", folder, "--name", "c1", "--role", "control", "--address", "127.0.0.1"), exitOK)
	again, err := os.ReadFile(filepath.Join(folder, "ca.pem"))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(first, again))
	a := api{
		url: defaultURL, output: outputTable, ca: filepath.Join(folder, "ca.pem"),
		cert: filepath.Join(folder, "anna.pem"), key: filepath.Join(folder, "anna-key.pem"),
	}
	assert.NilError(t, a.open())
	assert.Equal(t, runCommand(t, &bytes.Buffer{}, "certs", "--folder", folder, "--name", "x", "--role", "king"), exitUsage)
}
