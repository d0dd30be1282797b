package dispatch

import (
	"net/http"

	"github.com/comfreyrail/comfreyrail/rail/header"
)

// requestHeader returns the headers to send to a backend server for a request with the headers of the caller.
func requestHeader(callerHeader http.Header) http.Header {
	forwarded := header.EndToEnd(callerHeader)
	// The whole body is available already, so that the backend server need not ask for it with 100 Continue.
	forwarded.Del("Expect")
	if _, ok := forwarded["User-Agent"]; !ok {
		// An empty value keeps the transport from sending its own User-Agent.
		forwarded.Set("User-Agent", "")
	}
	return forwarded
}
