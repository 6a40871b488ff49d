package result

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var update = flag.Bool("write-page", false, "write docs/result-codes.md from the table")

const page = "../../docs/result-codes.md"

// Guards against a page of result codes that differs from the table.
func TestPageMatchesTable(t *testing.T) {
	want := render()
	if *update {
		assert.NilError(t, os.WriteFile(page, []byte(want), 0o644))
	}
	have, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Equal(t, string(have), want, "run go test ./kernel/result -write-page")
}

func render() string {
	var b strings.Builder
	b.WriteString(`# Result codes

Generated from kernel/result/table.go by "go test heatherway.dev/kernel/result -write-page".
Codes from 1000 to 1999 end a process at start and have no HTTP status. "ran" is the
default: a single answer may be more exact, so read the field "ran" of the answer.

| code | name | HTTP | ran | ask again | meaning |
| --- | --- | --- | --- | --- | --- |
`)
	for _, i := range All() {
		http, retry := fmt.Sprint(i.HTTP), "no"
		if i.Code < 2000 {
			http = "-"
		}
		if i.Retry {
			retry = "yes, after `Retry-After` if given"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", int(i.Code), i.Name, http, i.Ran, retry, i.Meaning)
	}
	return b.String()
}

// Guards against two codes with the same name, which clients couldn't distinguish.
func TestNamesAreUnique(t *testing.T) {
	seen := map[string]Code{}
	for _, i := range All() {
		other, dup := seen[i.Name]
		assert.Assert(t, !dup, "%d and %d are both named %s", i.Code, other, i.Name)
		seen[i.Name] = i.Code
	}
}
