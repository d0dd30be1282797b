package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/emicklei/go-restful/v3"
)

// authorize rejects requests without the token that they need. Readiness needs no token, and GET requests accept the read token.
// If no token is configured, every request is allowed.
func (s *Server) authorize(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	if r.Request.URL.Path == "/ready" || s.config.Settings.TokenSHA256 == "" {
		chain.ProcessFilter(r, w)
		return
	}
	token := strings.TrimPrefix(r.Request.Header.Get("Authorization"), "Bearer ")
	mayWrite := hashMatches(token, s.config.Settings.TokenSHA256)
	mayRead := hashMatches(token, s.config.Settings.ReadTokenSHA256)
	switch {
	case mayWrite, mayRead && r.Request.Method == http.MethodGet:
		chain.ProcessFilter(r, w)
	case mayRead:
		writeError(w, http.StatusForbidden, "this token admits to reading alone; use the operators' token")
	default:
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeError(w, http.StatusUnauthorized, "send the operators' token in the header Authorization: Bearer TOKEN")
	}
}

// hashMatches reports whether the token has the hash, given in hexadecimal. It compares in constant time.
func hashMatches(token, hash string) bool {
	expected, err := hex.DecodeString(hash)
	sum := sha256.Sum256([]byte(token))
	return err == nil && subtle.ConstantTimeCompare(sum[:], expected) == 1
}
