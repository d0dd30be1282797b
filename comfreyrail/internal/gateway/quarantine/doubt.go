package quarantine

import (
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
)

// Limits of what is kept of connections that ended to servers which were alive then.
const (
	// doubtTTL is how long after the end of a connection the incarnation that a server's entry names may change.
	doubtTTL = 3 * time.Second
	// maxDoubts is the maximum number of such connections that are kept; the oldest make room.
	maxDoubts = 256
)

// doubt is a connection that ended before a request was answered, to a server that accepted another one: it lives on, or its next
// incarnation has started.
type doubt struct {
	server  backend.Server
	request poison.Request
	began   bool
	until   time.Time
}

// doubtLater keeps an ended connection until it is known whether the server has started again.
func (k *Keeper) doubtLater(server backend.Server, request poison.Request, began bool) {
	if request.Digest == "" {
		return
	}
	request = poison.Request{Digest: request.Digest} // too weak for parts, of which fewer crashes count
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.doubts) == maxDoubts {
		k.doubts = slices.Delete(k.doubts, 0, 1)
	}
	k.doubts = append(k.doubts, doubt{server: server, request: request, began: began, until: time.Now().Add(doubtTTL)})
}

// resolveDoubts records the crashes of the servers whose incarnation is no longer the one that the snapshot lists, and forgets the
// connections that ended long ago or to servers that are leaving.
func (k *Keeper) resolveDoubts(snapshot *catalog.Snapshot) {
	k.mu.Lock()
	now := time.Now()
	var replaced []doubt
	k.doubts = slices.DeleteFunc(k.doubts, func(d doubt) bool {
		isReplaced, isDraining := compareListed(snapshot, d.server)
		if isReplaced {
			replaced = append(replaced, d)
		}
		return isReplaced || isDraining || now.After(d.until)
	})
	k.mu.Unlock()
	for _, d := range replaced {
		k.recordCrash(d.server, d.request, d.began)
	}
}

// compareListed reports whether a snapshot no longer lists an incarnation of a server, or another server at its address, and whether
// it lists it as draining.
func compareListed(snapshot *catalog.Snapshot, server backend.Server) (isReplaced, isDraining bool) {
	isReplaced = true
	for _, listed := range snapshot.Servers[server.Service] {
		switch {
		case listed.ID == server.ID && listed.Born == server.Born:
			isReplaced, isDraining = false, listed.Draining
		case listed.Address == server.Address:
			return true, false
		}
	}
	return isReplaced, isDraining
}
