package dispatch

import (
	"net/http"

	"github.com/comfreyrail/comfreyrail/rail/header"
)

// requestHeader returns the headers to send to a backend server.
func requestHeader(caller http.Header) http.Header {
	kept := header.EndToEnd(caller)
	// The whole body is at hand, so that there is nothing to wait for.
	kept.Del("Expect")
	if _, ok := kept["User-Agent"]; !ok {
		kept.Set("User-Agent", "")
	}
	return kept
}
