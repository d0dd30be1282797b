package forward

import (
	"net/http"

	"github.com/comfreyrail/comfreyrail/rail/header"
)

// endToEnd returns the headers that are passed on; the length of a body and the wait for it are told anew.
func endToEnd(from http.Header) http.Header {
	kept := header.EndToEnd(from)
	kept.Del("Content-Length")
	kept.Del("Expect")
	return kept
}

// copyHeader puts the end-to-end headers of an answer into the caller's.
func copyHeader(to, from http.Header) {
	for name, values := range endToEnd(from) {
		to[name] = values
	}
	if _, ok := to["Date"]; !ok {
		to["Date"] = nil
	}
}
