package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/emicklei/go-restful/v3"
)

// authorize passes on requests that bear the token which they need; readiness needs none.
func (a *Server) authorize(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	if r.Request.URL.Path == "/ready" || a.config.Settings.TokenSHA256 == "" {
		chain.ProcessFilter(r, w)
		return
	}
	token := strings.TrimPrefix(r.Request.Header.Get("Authorization"), "Bearer ")
	full := matches(token, a.config.Settings.TokenSHA256)
	read := matches(token, a.config.Settings.ReadTokenSHA256)
	switch {
	case full, read && r.Request.Method == http.MethodGet:
		chain.ProcessFilter(r, w)
	case read:
		fail(w, http.StatusForbidden, "this token admits to reading alone; use the operators' token")
	default:
		w.Header().Set("WWW-Authenticate", "Bearer")
		fail(w, http.StatusUnauthorized, "send the operators' token in the header Authorization: Bearer TOKEN")
	}
}

// matches reports, in a time that does not depend on the token, whether it has the hash.
func matches(token, want string) bool {
	expected, err := hex.DecodeString(want)
	sum := sha256.Sum256([]byte(token))
	return err == nil && subtle.ConstantTimeCompare(sum[:], expected) == 1
}
