package dispatch

import (
	"net/http"
	"strings"
)

// hopHeaders are the headers that concern one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of the headers without those that concern one connection.
func endToEnd(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

// requestHeader returns the headers to send to a backend server.
func requestHeader(header http.Header) http.Header {
	kept := endToEnd(header)
	// The whole body is at hand, so that there is nothing to wait for.
	kept.Del("Expect")
	if _, ok := kept["User-Agent"]; !ok {
		kept.Set("User-Agent", "")
	}
	return kept
}
