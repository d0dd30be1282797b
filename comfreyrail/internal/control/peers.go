package control

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/drain"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// Members returns the records of the instances that are alive or suspected, this one included, sorted by name.
func (s *Snapshot) Members() []member.Member {
	members := make([]member.Member, 0, len(s.KnownInstances))
	for _, update := range s.KnownInstances {
		if update.State <= gossip.Suspected {
			members = append(members, update.Member)
		}
	}
	return members
}

// Registered is sent when this incarnation has written its record to the store.
type Registered struct {
	// Self is the record that was written, with its epoch.
	Self member.Member
}

func (e Registered) apply(c *Control, next *Snapshot) {
	if c.gossipNode == nil {
		c.gossipNode = gossip.New(gossip.Config{Self: e.Self, Checker: c.checker})
	} else {
		c.gossipNode.SetSelf(e.Self)
	}
	next.Self = e.Self
	c.publishMembers(next)
}

// MembersListed is sent when the records of the members have been read from the store.
type MembersListed struct {
	// At is the time at which the response arrived.
	At time.Time
	// Members are the records.
	Members []member.Member
}

func (e MembersListed) apply(c *Control, next *Snapshot) {
	if c.gossipNode == nil {
		return
	}
	c.gossipNode.AddListed(e.At, e.Members)
	c.publishMembers(next)
}

// MemberJoined is sent when an unknown instance has called and its record was found in the store.
type MemberJoined struct {
	// At is the time at which the record was found.
	At time.Time
	// Member is the record.
	Member member.Member
}

func (e MemberJoined) apply(c *Control, next *Snapshot) {
	if c.gossipNode == nil {
		return
	}
	c.gossipNode.AddJoined(e.At, e.Member)
	c.publishMembers(next)
}

// HeartbeatsDue requests the heartbeats that are due; it is sent once in every gossip.DefaultInterval.
type HeartbeatsDue struct {
	// At is the time at which the event was sent.
	At time.Time
	// Heartbeats receives the heartbeats; it must be buffered, since the send must not block.
	Heartbeats chan<- []gossip.Heartbeat
}

func (e HeartbeatsDue) apply(c *Control, next *Snapshot) {
	if c.gossipNode == nil {
		e.Heartbeats <- nil
		return
	}
	e.Heartbeats <- c.addMarks(c.gossipNode.Tick(e.At), e.At)
	c.publishMembers(next)
}

// GenerationInstalled is sent when a generation of the tables is in force; it requests heartbeats that announce it.
type GenerationInstalled struct {
	// At is the time at which the event was sent.
	At time.Time
	// Offer identifies the generation.
	Offer gossip.Offer
	// Heartbeats receives the heartbeats; it must be buffered, since the send must not block.
	Heartbeats chan<- []gossip.Heartbeat
}

func (e GenerationInstalled) apply(c *Control, _ *Snapshot) {
	if c.gossipNode != nil {
		c.gossipNode.SetOffer(e.Offer)
	}
	e.Heartbeats <- c.announce(e.At)
}

// announce returns heartbeats to all partners that have none in flight, or none if this incarnation is not registered
// yet.
func (c *Control) announce(now time.Time) []gossip.Heartbeat {
	if c.gossipNode == nil {
		return nil
	}
	return c.addMarks(c.gossipNode.Announce(), now)
}

// MarksDue requests heartbeats that spread the marks of leaving backend servers, to all partners that have none in
// flight; it is sent after each value from ServerLeaving.
type MarksDue struct {
	// At is the time at which the event was sent.
	At time.Time
	// Heartbeats receives the heartbeats; it must be buffered, since the send must not block.
	Heartbeats chan<- []gossip.Heartbeat
}

func (e MarksDue) apply(c *Control, _ *Snapshot) { e.Heartbeats <- c.announce(e.At) }

// addMarks sets the hash of the marks of leaving backend servers in every heartbeat. It adds the marks themselves unless
// the last response of the partner had the same hash.
func (c *Control) addMarks(heartbeats []gossip.Heartbeat, now time.Time) []gossip.Heartbeat {
	if len(heartbeats) == 0 {
		return nil
	}
	marks := c.serverTracker.drains.Marks(now)
	hash := drain.Hash(marks)
	for i := range heartbeats {
		heartbeats[i].Message.MarksHash = hash
		if c.peerMarksHashes[heartbeats[i].To.Name] != hash {
			heartbeats[i].Message.Marks = marks
		}
	}
	return heartbeats
}

// addResponseMarks sets the hash of the marks of leaving backend servers in the response to a heartbeat, and adds the
// marks themselves unless the hash equals peerHash.
func (c *Control) addResponseMarks(response gossip.Message, peerHash uint64, now time.Time) gossip.Message {
	marks := c.serverTracker.drains.Marks(now)
	if response.MarksHash = drain.Hash(marks); response.MarksHash != peerHash {
		response.Marks = marks
	}
	return response
}

// mergeMarks merges marks of leaving backend servers that were received from a peer.
func (c *Control) mergeMarks(next *Snapshot, marks []drain.Mark, now time.Time) {
	c.serverTracker.drains.Merge(marks, now)
	for _, mark := range marks {
		c.updateUsable(next, mark.Server)
	}
}

// ServerLeaving returns a channel that receives a value when a usable backend server has become unusable because it is
// leaving, so that peers are notified before the next regular heartbeat.
func (c *Control) ServerLeaving() <-chan struct{} { return c.serverLeaving }

// signalServerLeaving sends on the channel of ServerLeaving without blocking; signals that have not been received yet
// are merged into one.
func (c *Control) signalServerLeaving() {
	select {
	case c.serverLeaving <- struct{}{}:
	default:
	}
}

// HeartbeatReceived is sent when a heartbeat of another instance has arrived; it requests the response.
type HeartbeatReceived struct {
	// At is the time of arrival.
	At time.Time
	// Message is the heartbeat.
	Message gossip.Message
	// Response receives the response and must be buffered; it is closed instead if this incarnation is not registered
	// yet.
	Response chan<- gossip.Message
}

func (e HeartbeatReceived) apply(c *Control, next *Snapshot) {
	if c.gossipNode == nil {
		close(e.Response)
		return
	}
	response := c.gossipNode.Receive(e.At, e.Message)
	c.mergeMarks(next, e.Message.Marks, e.At)
	e.Response <- c.addResponseMarks(response, e.Message.MarksHash, e.At)
	c.publishMembers(next)
}

// HeartbeatSucceeded is sent when the response to a heartbeat has arrived.
type HeartbeatSucceeded struct {
	// At is the time of arrival.
	At time.Time
	// Name is the name of the instance that the heartbeat was sent to.
	Name string
	// Response is the response.
	Response gossip.Message
}

func (e HeartbeatSucceeded) apply(c *Control, next *Snapshot) {
	c.gossipNode.HeartbeatSucceeded(e.At, e.Name, e.Response)
	c.mergeMarks(next, e.Response.Marks, e.At)
	c.peerMarksHashes[e.Name] = e.Response.MarksHash
	c.publishMembers(next)
}

// HeartbeatFailed is sent when a heartbeat failed or timed out.
type HeartbeatFailed struct {
	// At is the time of the failure.
	At time.Time
	// Name is the name of the instance that the heartbeat was sent to.
	Name string
	// Epoch is the epoch of the incarnation that the heartbeat was sent to.
	Epoch uint64
}

func (e HeartbeatFailed) apply(c *Control, next *Snapshot) {
	c.gossipNode.HeartbeatFailed(e.At, e.Name, e.Epoch)
	delete(c.peerMarksHashes, e.Name)
	c.publishMembers(next)
}

// SelfLeaving is sent when this incarnation stops; it requests the heartbeats that notify its partners.
type SelfLeaving struct {
	// Heartbeats receives the heartbeats; it must be buffered, since the send must not block.
	Heartbeats chan<- []gossip.Heartbeat
}

func (e SelfLeaving) apply(c *Control, _ *Snapshot) {
	if c.gossipNode == nil {
		e.Heartbeats <- nil
		return
	}
	e.Heartbeats <- c.gossipNode.Leave()
}

// publishMembers sets next.Superseded, and copies the records of the members into next.KnownInstances if they have changed.
func (c *Control) publishMembers(next *Snapshot) {
	if next.Superseded = c.gossipNode.Superseded(); c.gossipNode.Revision() == c.membersRevision {
		return
	}
	c.membersRevision = c.gossipNode.Revision()
	next.KnownInstances = c.gossipNode.All()
}
