package forward

import (
	"net/http"

	"github.com/comfreyrail/comfreyrail/rail/header"
)

// endToEnd returns a copy of the end-to-end headers without Content-Length and Expect, which are set anew for each hop.
func endToEnd(from http.Header) http.Header {
	forwarded := header.EndToEnd(from)
	forwarded.Del("Content-Length")
	forwarded.Del("Expect")
	return forwarded
}

// copyHeader copies the end-to-end headers of a backend server's response to the caller's. It suppresses the Date header if
// the response has none.
func copyHeader(to, from http.Header) {
	for name, values := range endToEnd(from) {
		to[name] = values
	}
	if _, ok := to["Date"]; !ok {
		to["Date"] = nil
	}
}
