package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
)

// Limits of the crashes that are unconfirmed.
const (
	// unconfirmedTTL is how long after the end of a connection the incarnation that a server's entry names may change.
	unconfirmedTTL = 3 * time.Second
	// maxUnconfirmed is the maximum number of such connections that are kept; the oldest make room.
	maxUnconfirmed = 256
	// reprobeTimeout is the timeout of the further probes of a server that did not answer the first, within which a lost packet is sent
	// again.
	reprobeTimeout = 1200 * time.Millisecond
)

// unconfirmedCrash is a connection that ended before a request was answered, to a server that accepted another one, and lives on or is the
// next incarnation, or that did not answer the probe.
type unconfirmedCrash struct {
	server  backend.Server
	request poison.Request
	began   bool
	silent  bool // whether the server must be probed again
	until   time.Time
}

// keepUnconfirmed keeps an ended connection until it is known whether the server has started again.
func (k *Keeper) keepUnconfirmed(server backend.Server, request poison.Request, began, silent bool) {
	if request.Digest == "" {
		return
	}
	request = poison.Request{Digest: request.Digest} // too weak for parts, of which fewer crashes count
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.unconfirmed) == maxUnconfirmed {
		k.unconfirmed = slices.Delete(k.unconfirmed, 0, 1)
	}
	k.unconfirmed = append(k.unconfirmed, unconfirmedCrash{server: server, request: request, began: began, silent: silent, until: time.Now().Add(unconfirmedTTL)})
}

// resolveUnconfirmed records the crashes of the servers whose incarnation is no longer the one that the snapshot lists, and forgets the
// connections that ended long ago or to servers that are leaving.
func (k *Keeper) resolveUnconfirmed(snapshot *catalog.Snapshot) {
	k.mu.Lock()
	now := time.Now()
	var replaced []unconfirmedCrash
	k.unconfirmed = slices.DeleteFunc(k.unconfirmed, func(d unconfirmedCrash) bool {
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

// reprobeUnconfirmed probes the silent servers again, one probe of each at a time.
func (k *Keeper) reprobeUnconfirmed(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, d := range k.unconfirmed {
		if name := incarnation(d.server); d.silent && !k.reprobed[name] {
			k.reprobed[name] = true
			go k.probeAgain(ctx, d.server)
		}
	}
}

// probeAgain probes a silent server. If it refuses connections, the crash is recorded; if it accepts one, its crashes stay
// unconfirmed as those of other servers that are alive.
func (k *Keeper) probeAgain(ctx context.Context, server backend.Server) {
	defer func() {
		if reason := recover(); reason != nil {
			k.config.Log.WithField("panic", reason).Error("the probe of a silent server panicked")
		}
	}()
	crashed, silent := k.refusesConnections(ctx, server, reprobeTimeout)
	var confirmed []unconfirmedCrash
	k.mu.Lock()
	delete(k.reprobed, incarnation(server))
	for i := range k.unconfirmed {
		if d := &k.unconfirmed[i]; incarnation(d.server) == incarnation(server) {
			d.silent = d.silent && silent
		}
	}
	if crashed {
		k.unconfirmed = slices.DeleteFunc(k.unconfirmed, func(d unconfirmedCrash) bool {
			isConfirmed := incarnation(d.server) == incarnation(server)
			if isConfirmed {
				confirmed = append(confirmed, d)
			}
			return isConfirmed
		})
	}
	k.mu.Unlock()
	for _, d := range confirmed {
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
