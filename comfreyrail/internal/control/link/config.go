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
	// KindContent asks for content of the tables by a ContentRequest and is answered by a ContentResponse.
	KindContent peer.Kind = "content"
	// KindOffer asks for the generation in force and is answered by a gossip.Offer.
	KindOffer peer.Kind = "head"
)

const (
	// watchersPerZone is the number of instances that hold a waiting watch in each availability zone.
	watchersPerZone = 2
	// askedPeers is the number of peers that a new instance asks for the generation in force.
	askedPeers = 5
	// askTimeout is the longest wait for the generation in force at another instance.
	askTimeout = 2 * time.Second
)

// ContentRequest asks for content of the tables.
type ContentRequest struct {
	// Hash is the hash of the content.
	Hash string `cbor:"1,keyasint"`
}

// ContentResponse is content of the tables.
type ContentResponse struct {
	// Bytes is the content.
	Bytes []byte `cbor:"1,keyasint"`
}

// Config configures the calls about configuration.
type Config struct {
	// Control publishes the state.
	Control *control.Control
	// Sync reads and installs the tables.
	Sync *configsync.Sync
	// Membership keeps the view of the fleet.
	Membership *membership.Membership
	// Transport carries the calls.
	Transport *peer.Transport
	// Seeds are addresses of instances that this one asks for tables while it has no record of its own.
	Seeds []string
}

// seedInterval is the time between questions to the seeds while this incarnation has no record of its own.
const seedInterval = 2 * time.Second

// Link makes and serves the calls about configuration.
type Link struct{ Config }

// New joins the configuration, the membership and the transport; it must be called before they serve.
func New(config Config) *Link {
	c := &Link{config}
	config.Sync.IsWatcher = c.watches
	config.Sync.MemberCount = func() int { return len(config.Control.Snapshot().Members()) }
	config.Sync.Announce = config.Membership.Announce
	config.Sync.FetchFromPeer = c.fetch
	config.Sync.PeerOffers = c.heads
	config.Membership.Call = config.Transport.Call
	config.Membership.OnOffer = func(ctx context.Context, from member.Member, head gossip.Offer) {
		config.Sync.HandleOffer(ctx, from.Name, head.Generation, head.Hash)
	}
	config.Transport.Handle(membership.KindHeartbeat, config.Membership.ServeHeartbeat)
	config.Transport.Handle(membership.KindStatus, config.Membership.ServeStatus)
	config.Transport.HandleGuests(KindContent, c.serveContent)
	config.Transport.HandleGuests(KindOffer, c.serveHead)
	return c
}

// Serve asks the seeds for tables until this incarnation is registered, so that an outage of the service does not
// keep a new instance from taking requests.
func (c *Link) Serve(ctx context.Context) error {
	ticker := time.NewTicker(seedInterval)
	defer ticker.Stop()
	for len(c.Seeds) > 0 && c.Control.Snapshot().Self.Epoch == 0 {
		for _, head := range c.ask(ctx, c.seeds()) {
			c.Sync.HandleOffer(ctx, head.Peer, head.Generation, head.Hash)
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

// seeds returns the records of the seeds, without what only the platform's service knows.
func (c *Link) seeds() []member.Member {
	seeds := make([]member.Member, 0, len(c.Seeds))
	for _, address := range c.Seeds {
		seeds = append(seeds, member.Member{Name: address, Address: address})
	}
	return seeds
}

// watches reports whether this instance holds a waiting watch on the tables.
//
// An instance that sees no others watches by itself.
func (c *Link) watches() bool {
	snapshot := c.Control.Snapshot()
	members := snapshot.Members()
	return len(members) <= 1 || member.HasRole(snapshot.Self.Name, member.RoleWatch, watchersPerZone, members)
}

// fetch returns content from a peer or a seed.
func (c *Link) fetch(ctx context.Context, name, hash string) (content []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "fetch from %q", name)
	for _, known := range append(c.Control.Snapshot().Members(), c.seeds()...) {
		if known.Name != name {
			continue
		}
		var answer ContentResponse
		err = c.Transport.Call(ctx, known, KindContent, ContentRequest{Hash: hash}, &answer)
		return answer.Bytes, err
	}
	return nil, errors.New("the instance is not known")
}

// heads asks a few peers for the generation that they have in force.
func (c *Link) heads(ctx context.Context) (heads []configsync.PeerOffer, err error) {
	snapshot := c.Control.Snapshot()
	var asked []member.Member
	for _, other := range snapshot.Members() {
		if other.Name != snapshot.Self.Name && len(asked) < askedPeers {
			asked = append(asked, other)
		}
	}
	heads = c.ask(ctx, asked)
	if len(asked) > 0 && len(heads) == 0 {
		return nil, errors.Errorf("none of %d peers answered", len(asked))
	}
	return heads, nil
}

// ask returns the generations that those of the instances that answer have in force.
func (c *Link) ask(ctx context.Context, asked []member.Member) (heads []configsync.PeerOffer) {
	var (
		mu     sync.Mutex
		asking sync.WaitGroup
	)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for _, other := range asked {
		asking.Go(func() {
			var head gossip.Offer
			if c.Transport.Call(ctx, other, KindOffer, struct{}{}, &head) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			heads = append(heads, configsync.PeerOffer{Offer: head, Peer: other.Name})
		})
	}
	asking.Wait()
	return heads
}

func (c *Link) serveContent(_ context.Context, from member.Member, body []byte) (answer any, err error) {
	defer errors.DeferredAnnotatef(&err, "content for %q", from.Name)
	var request ContentRequest
	if err = peer.Decode(body, &request); err != nil {
		return nil, err
	}
	content, ok := c.Sync.Content(request.Hash)
	if !ok {
		return nil, errors.NotFoundf("content %q", request.Hash)
	}
	return ContentResponse{Bytes: content}, nil
}

func (c *Link) serveHead(context.Context, member.Member, []byte) (answer any, err error) {
	return c.Sync.LocalOffer(), nil
}
