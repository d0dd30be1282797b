package entry

import (
	"encoding/json"
	"net/http"

	"github.com/emicklei/go-restful/v3"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/graceful"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// mintedKeyBody is the body of the response to a request for a new idempotency key.
type mintedKeyBody struct {
	Key string `json:"key"`
}

// mintKey responds with a new idempotency key.
func (s *CallerServer) mintKey(r *restful.Request, w *restful.Response) {
	id := graceful.RequestID(r.Request.Context())
	key, err := s.config.Relay.Mint()
	if err != nil {
		s.writeFailure(w, id, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(outcome.Header, string(outcome.Done))
	w.Header().Set(outcome.RequestIDHeader, id)
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(mintedKeyBody{Key: key})
}
