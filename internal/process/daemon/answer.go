package daemon

import "net/http"

// CloseAfterAnswers returns a handler that calls next and closes the connection of each response that
// begins while stopping returns true, so that the caller's next request reaches another process.
func CloseAfterAnswers(next http.Handler, stopping func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		closing := &closingWriter{ResponseWriter: w, stopping: stopping}
		next.ServeHTTP(closing, r)
		closing.begin() // a response without a body may begin after its handler
	})
}

// closingWriter sets the header Connection when the response begins. The optional methods of a
// http.ResponseWriter are those of http.ResponseController.
type closingWriter struct {
	http.ResponseWriter
	stopping func() bool
	begun    bool
}

func (w *closingWriter) begin() {
	if !w.begun && w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// FlushError is called by http.ResponseController.
func (w *closingWriter) FlushError() error {
	w.begin()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush implements http.Flusher.
func (w *closingWriter) Flush() { _ = w.FlushError() }

// Unwrap is called by http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
