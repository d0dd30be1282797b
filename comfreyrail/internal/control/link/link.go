package link

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/configsync"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/membership"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/peer"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

const (
	// KindContent carries a ContentRequest; the response is a ContentResponse.
	KindContent peer.Kind = "content"
	// KindOffer requests the generation in force; the response is a gossip.Offer.
	KindOffer peer.Kind = "head"
)

const (
	// watchersPerZone is the number of instances in each availability zone that hold an open watch on the head.
	watchersPerZone = 2
	// maxQueriedPeers is the maximum number of peers that a starting instance queries for the generation in force.
	maxQueriedPeers = 5
	// offerTimeout is the timeout of a query for the generation in force.
	offerTimeout = 2 * time.Second
)

// ContentRequest requests a chunk or manifest of the tables by its hash.
type ContentRequest struct {
	// Hash is the hash of the content.
	Hash string `cbor:"1,keyasint"`
}

// ContentResponse carries a chunk or manifest of the tables.
type ContentResponse struct {
	// Bytes is the content.
	Bytes []byte `cbor:"1,keyasint"`
}

// Config configures a Link.
type Config struct {
	// Control provides the list of members.
	Control *control.Control
	// Sync reads the tables and installs them.
	Sync *configsync.Sync
	// Membership keeps the list of members up to date.
	Membership *membership.Membership
	// Transport sends and receives the calls.
	Transport *peer.Transport
	// Seeds are the addresses of instances that this one queries for tables until it is registered.
	Seeds []string
}

// seedInterval is the time between queries to the seeds until this incarnation is registered.
const seedInterval = 2 * time.Second

// Link makes and serves the calls by which instances exchange tables and the generation in force.
type Link struct{ Config }

// New returns a Link and sets the function fields and handlers of Sync, Membership and Transport; it must be called
// before they serve.
func New(config Config) *Link {
	l := &Link{config}
	config.Sync.IsWatcher = l.isWatcher
	config.Sync.MemberCount = func() int { return len(config.Control.Snapshot().Members()) }
	config.Sync.Announce = config.Membership.Announce
	config.Sync.FetchFromPeer = l.fetchContent
	config.Sync.PeerOffers = l.peerOffers
	config.Membership.Call = config.Transport.Call
	config.Membership.OnOffer = func(ctx context.Context, from member.Member, offer gossip.Offer) {
		config.Sync.HandleOffer(ctx, from.Name, offer.Generation, offer.Hash)
	}
	config.Transport.Handle(membership.KindHeartbeat, config.Membership.ServeHeartbeat)
	config.Transport.Handle(membership.KindRecord, config.Membership.ServeRecord)
	config.Transport.HandleGuests(KindContent, l.serveContent)
	config.Transport.HandleGuests(KindOffer, l.serveOffer)
	return l
}

// Serve queries the seeds for tables until this incarnation is registered, so that a new instance becomes ready during
// an outage of the store; it returns the error of ctx when ctx ends.
func (l *Link) Serve(ctx context.Context) error {
	ticker := time.NewTicker(seedInterval)
	defer ticker.Stop()
	for len(l.Seeds) > 0 && l.Control.Snapshot().Self.Epoch == 0 {
		for _, offer := range l.queryOffers(ctx, l.seedMembers()) {
			l.Sync.HandleOffer(ctx, offer.Peer, offer.Generation, offer.Hash)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// seedMembers returns a record for each seed, with its address also as its name; the other fields are empty, since they
// are recorded only in the store.
func (l *Link) seedMembers() []member.Member {
	seeds := make([]member.Member, 0, len(l.Seeds))
	for _, address := range l.Seeds {
		seeds = append(seeds, member.Member{Name: address, Address: address})
	}
	return seeds
}

// isWatcher reports whether this instance holds an open watch on the head; it always does if it is the only member in
// its list.
func (l *Link) isWatcher() bool {
	snapshot := l.Control.Snapshot()
	members := snapshot.Members()
	return len(members) <= 1 || member.HasRole(snapshot.Self.Name, member.RoleWatch, watchersPerZone, members)
}

// fetchContent returns the content with the hash from the peer or seed with the name.
func (l *Link) fetchContent(ctx context.Context, name, hash string) (content []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "fetch from %q", name)
	for _, source := range append(l.Control.Snapshot().Members(), l.seedMembers()...) {
		if source.Name != name {
			continue
		}
		var response ContentResponse
		err = l.Transport.Call(ctx, source, KindContent, ContentRequest{Hash: hash}, &response)
		return response.Bytes, err
	}
	return nil, errors.New("the instance is neither a member nor a seed")
}

// peerOffers returns the generations that up to maxQueriedPeers peers have in force; it returns an error if there are
// peers and none responds.
func (l *Link) peerOffers(ctx context.Context) (offers []configsync.PeerOffer, err error) {
	snapshot := l.Control.Snapshot()
	var peers []member.Member
	for _, other := range snapshot.Members() {
		if other.Name != snapshot.Self.Name && len(peers) < maxQueriedPeers {
			peers = append(peers, other)
		}
	}
	offers = l.queryOffers(ctx, peers)
	if len(peers) > 0 && len(offers) == 0 {
		return nil, errors.Errorf("none of %d peers responded", len(peers))
	}
	return offers, nil
}

// queryOffers returns the generations that the peers have in force, except those that do not respond in time.
func (l *Link) queryOffers(ctx context.Context, peers []member.Member) (offers []configsync.PeerOffer) {
	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	for _, other := range peers {
		group.Go(func() {
			var offer gossip.Offer
			if l.Transport.Call(ctx, other, KindOffer, struct{}{}, &offer) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			offers = append(offers, configsync.PeerOffer{Offer: offer, Peer: other.Name})
		})
	}
	group.Wait()
	return offers
}

func (l *Link) serveContent(_ context.Context, from member.Member, body []byte) (response any, err error) {
	defer errors.DeferredAnnotatef(&err, "content for %q", from.Name)
	var request ContentRequest
	if err = peer.Decode(body, &request); err != nil {
		return nil, err
	}
	content, ok := l.Sync.Content(request.Hash)
	if !ok {
		return nil, errors.NotFoundf("content %q", request.Hash)
	}
	return ContentResponse{Bytes: content}, nil
}

func (l *Link) serveOffer(context.Context, member.Member, []byte) (response any, err error) {
	return l.Sync.LocalOffer(), nil
}
