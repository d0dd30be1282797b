package header

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to one connection only and must not be forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the headers without the hop-by-hop headers and those that Connection names; it is never nil.
func EndToEnd(header http.Header) (forwarded http.Header) {
	forwarded = header.Clone()
	if forwarded == nil {
		forwarded = make(http.Header)
	}
	for _, names := range header.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		forwarded.Del(name)
	}
	return forwarded
}
