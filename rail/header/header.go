package header

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that concern one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the headers without those that concern one connection; it is never nil.
func EndToEnd(header http.Header) (kept http.Header) {
	kept = header.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}
