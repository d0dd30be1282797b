package graceful

import (
	"context"
	"crypto/rand"
	"net/http"
)

// key is the type of the keys of values in contexts.
type key uint8

const (
	connKey key = iota
	requestKey
)

// RequestID returns the id of the request that the context belongs to, or a new one.
func RequestID(ctx context.Context) string {
	if id, ok := ctx.Value(requestKey).(string); ok {
		return id
	}
	return rand.Text()
}

// ServeHTTP answers one request of a connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey).(*conn)
	if !ok {
		s.config.Handler.ServeHTTP(w, r)
		return
	}
	id := rand.Text()
	admission := s.begin(c.id, id)
	out := &writer{ResponseWriter: w, server: s, close: admission.Close}
	r = r.WithContext(context.WithValue(r.Context(), requestKey, id))
	if admission.Refuse {
		s.config.Refuse(out, r)
		return
	}
	s.config.Handler.ServeHTTP(out, r)
}

// writer asks the caller to close the connection if the instance stops.
type writer struct {
	http.ResponseWriter

	server *Server
	close  bool
	begun  bool
}

// WriteHeader sends the headers.
func (w *writer) WriteHeader(status int) {
	w.begin(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (w *writer) Write(p []byte) (int, error) {
	w.begin(http.StatusOK)
	return w.ResponseWriter.Write(p)
}

// Flush sends what has been written.
func (w *writer) Flush() {
	w.begin(http.StatusOK)
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer behind this one, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *writer) begin(status int) {
	if w.begun || status < http.StatusOK {
		return
	}
	w.begun = true
	if w.close || w.server.Stopping() {
		w.Header().Set("Connection", "close")
	}
}
