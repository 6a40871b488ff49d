package response

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// uploadEndTimeout limits how long the end of a connection waits for the end of the upload. An
// upstream may close its sending side and read on; four megabytes take about half of this time
// at one gigabit per second.
const uploadEndTimeout = 100 * time.Millisecond

var errUploadUnfinished = errors.New("the connection ended during the upload")

// Upload is the sending of a request, which may outlast the start of its response.
type Upload struct {
	mu    sync.Mutex
	err   error
	ended chan struct{}
}

// NewUpload returns an upload that has not ended.
func NewUpload() *Upload { return &Upload{ended: make(chan struct{})} }

// End records the end of the upload. The last call counts, since a transport may send a request
// once more.
func (u *Upload) End(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.err = err
	select {
	case <-u.ended:
	default:
		close(u.ended)
	}
}

// Succeeded reports whether the whole request has been written.
func (u *Upload) Succeeded() bool {
	select {
	case <-u.ended:
	default:
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == nil
}

// await waits for the end of the upload. It returns an error that wraps io.ErrUnexpectedEOF if
// the upload has failed, or does not end in time.
func (u *Upload) await() error {
	timeout := time.NewTimer(uploadEndTimeout)
	defer timeout.Stop()
	select {
	case <-u.ended:
	case <-timeout.C:
		return errors.Join(io.ErrUnexpectedEOF, errUploadUnfinished)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return errors.Join(io.ErrUnexpectedEOF, errUploadUnfinished, u.err)
	}
	return nil
}

// Conn is a connection that returns an error instead of the end of its data unless the upload
// has succeeded. The error of a reset is reported once, to a read or to a write; if the write
// gets it, reads return a regular end, which would complete a response without a length.
type Conn struct {
	net.Conn
	upload atomic.Pointer[Upload]
}

// Begin sets the upload of the next request on the connection.
func (c *Conn) Begin(u *Upload) { c.upload.Store(u) }

// Read implements io.Reader.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if u := c.upload.Load(); u != nil && err == io.EOF { //nolint:errorlint // net.Conn returns io.EOF itself
		if failed := u.await(); failed != nil {
			err = failed
		}
	}
	return n, err
}
