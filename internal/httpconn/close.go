package httpconn

import "net/http"

// CloseWhen makes a response the last one on its connection if stopping reports true when the
// response begins.
func CloseWhen(stopping func() bool, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&closingWriter{ResponseWriter: w, stopping: stopping}, r)
	})
}

// closingWriter adds the header Connection: close when the response begins.
type closingWriter struct {
	http.ResponseWriter
	stopping func() bool
	started  bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

func (w *closingWriter) begin() {
	if !w.started && w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.started = true
}

// Unwrap lets http.ResponseController reach the connection.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
