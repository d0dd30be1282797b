package graceful

import (
	"context"
	"crypto/rand"
	"net/http"
)

// contextKey is the type of the keys of context values.
type contextKey uint8

const (
	// connKey is the key of the *conn of a request.
	connKey contextKey = iota
	// requestKey is the key of the ID of a request.
	requestKey
)

// RequestID returns the ID of the request that the context belongs to, or a new ID if there is none.
func RequestID(ctx context.Context) string {
	if id, ok := ctx.Value(requestKey).(string); ok {
		return id
	}
	return rand.Text()
}

// ServeHTTP serves a request with the Handler, or with Refuse if it must not run.
//
// A request on a connection that the listener didn't accept goes to the Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey).(*conn)
	if !ok {
		s.config.Handler.ServeHTTP(w, r)
		return
	}
	c.serving.Store(true)
	rw := &responseWriter{ResponseWriter: w, server: s}
	defer func() {
		if reason := recover(); reason != nil {
			s.respondPanicked(rw, r, reason)
		}
	}()
	id := s.config.RequestID(r)
	decision := s.startRequest(c.id, id)
	rw.closeConn = decision.Close
	r = r.WithContext(context.WithValue(r.Context(), requestKey, id))
	if decision.Refuse {
		s.config.Refuse(rw, r)
		return
	}
	s.config.Handler.ServeHTTP(rw, r)
}

// responseWriter adds the header Connection: close to responses while the instance is stopping.
type responseWriter struct {
	http.ResponseWriter

	server          *Server
	closeConn       bool
	headersPrepared bool
}

// WriteHeader writes the headers with the status.
func (w *responseWriter) WriteHeader(status int) {
	w.prepareHeaders(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.prepareHeaders(http.StatusOK)
	return w.ResponseWriter.Write(p)
}

// Flush sends the buffered data to the caller.
func (w *responseWriter) Flush() {
	w.prepareHeaders(http.StatusOK)
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// prepareHeaders adds the header Connection: close if it is due, once, before the first final status (200 or above).
func (w *responseWriter) prepareHeaders(status int) {
	if w.headersPrepared || status < http.StatusOK {
		return
	}
	w.headersPrepared = true
	if w.closeConn || w.server.Stopping() {
		w.Header().Set("Connection", "close")
	}
}
