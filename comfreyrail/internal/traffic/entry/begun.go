package entry

import "net/http"

// begunWriter is a response writer that knows whether the response has begun.
type begunWriter struct {
	http.ResponseWriter

	begun bool
}

// WriteHeader writes the headers with the status.
func (w *begunWriter) WriteHeader(status int) {
	w.begun = w.begun || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *begunWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Flush sends the buffered data to the caller.
func (w *begunWriter) Flush() {
	w.begun = true
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *begunWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
