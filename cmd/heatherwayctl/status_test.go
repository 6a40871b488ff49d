package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/response/responsetest"
)

// Guards against an answer of the administration API, or a snapshot, whose status is not a final
// one and which counts as a success.
func TestMalformedStatusIsNoAnswer(t *testing.T) {
	for line, valid := range responsetest.StatusLines {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			url := "http://" + responsetest.Serve(t, func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "%s\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", line)
			})
			a := &api{url: url, output: outputJSON}
			assert.NilError(t, a.open())
			_, err := a.do(t.Context(), request{method: http.MethodGet, path: []string{"status"}})
			_, snapshotErr := readSnapshot(t.Context(), url)
			if valid && strings.Contains(line, " 2") {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, err != nil && snapshotErr != nil, "%v, %v", err, snapshotErr)
		})
	}
}
