package load

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/response/responsetest"
)

// Guards against answers whose status is not a final one and which a run counts as answered.
func TestMalformedStatusIsNoAnswer(t *testing.T) {
	for line, valid := range responsetest.StatusLines {
		if valid {
			continue
		}
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Parallel()
			url := "http://" + responsetest.Serve(t, func(c net.Conn) {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = fmt.Fprintf(c, "%s\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", line)
			})
			o := options(url)
			o.ServiceShare, o.Requests, o.Service, o.Drain = 1, 1, "orders", 200*time.Millisecond
			r, err := Run(t.Context(), o, io.Discard)
			assert.NilError(t, err)
			assert.Equal(t, len(r.Plain), 1)
			assert.Equal(t, r.Plain[0].Finished, int64(0), "%+v", r.Plain[0])
		})
	}
}
