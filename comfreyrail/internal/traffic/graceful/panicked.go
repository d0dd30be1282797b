package graceful

import (
	"net/http"
	"runtime/debug"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// respondPanicked logs and counts the panic of a handler, and responds with Config.Panicked. If the response has begun, or for
// http.ErrAbortHandler, it panics with http.ErrAbortHandler, so that the response doesn't look complete.
func (s *Server) respondPanicked(w *responseWriter, r *http.Request, reason any) {
	if err, ok := reason.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(reason)
	}
	s.count("requests.panicked")
	fields := logrus.Fields{"request": RequestID(r.Context()), "reason": reason, "stack": string(debug.Stack())}
	s.config.Log.WithFields(fields).Error("a handler panicked")
	if w.headersPrepared || s.config.Panicked == nil {
		panic(http.ErrAbortHandler)
	}
	s.config.Panicked(w, r)
}
