package control

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/drain"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// Members returns the records of the instances that are alive or suspected, this one included, sorted by name.
func (s *Snapshot) Members() []member.Member {
	members := make([]member.Member, 0, len(s.Fleet))
	for _, update := range s.Fleet {
		if update.State <= gossip.Suspected {
			members = append(members, update.Member)
		}
	}
	return members
}

// Registered is sent when this incarnation has written its record to the store.
type Registered struct {
	// Self is the record.
	Self member.Member
}

func (e Registered) apply(c *Control, next *Snapshot) {
	if c.peers == nil {
		c.peers = gossip.New(gossip.Config{Self: e.Self, Checker: c.checker})
	} else {
		c.peers.SetSelf(e.Self)
	}
	next.Self = e.Self
	c.publishPeers(next)
}

// MembersListed is sent when the records of the members have been read from the store.
type MembersListed struct {
	// At is the time at which the response arrived.
	At time.Time
	// Members are the records.
	Members []member.Member
}

func (e MembersListed) apply(c *Control, next *Snapshot) {
	if c.peers == nil {
		return
	}
	c.peers.AddListed(e.At, e.Members)
	c.publishPeers(next)
}

// MemberJoined is sent when an unknown instance has called and its record was found in the store.
type MemberJoined struct {
	// At is the time of the call.
	At time.Time
	// Member is the record.
	Member member.Member
}

func (e MemberJoined) apply(c *Control, next *Snapshot) {
	if c.peers == nil {
		return
	}
	c.peers.AddJoined(e.At, e.Member)
	c.publishPeers(next)
}

// HeartbeatsDue requests the heartbeats that are due; it is sent once in every gossip.DefaultInterval.
type HeartbeatsDue struct {
	// At is the present time.
	At time.Time
	// Heartbeats receives the heartbeats; it must be buffered, since the send must not block.
	Heartbeats chan<- []gossip.Heartbeat
}

func (e HeartbeatsDue) apply(c *Control, next *Snapshot) {
	if c.peers == nil {
		e.Heartbeats <- nil
		return
	}
	e.Heartbeats <- c.addMarks(c.peers.Tick(e.At), e.At)
	c.publishPeers(next)
}

// GenerationInstalled is sent when a generation of the tables is in force; it requests heartbeats that announce it.
type GenerationInstalled struct {
	// At is the present time.
	At time.Time
	// Offer identifies the generation.
	Offer gossip.Offer
	// Heartbeats receives the heartbeats; it must be buffered, since the send must not block.
	Heartbeats chan<- []gossip.Heartbeat
}

func (e GenerationInstalled) apply(c *Control, _ *Snapshot) {
	if c.peers != nil {
		c.peers.SetOffer(e.Offer)
	}
	e.Heartbeats <- c.announce(e.At)
}

// announce returns heartbeats to all partners, or none if this incarnation is not registered yet.
func (c *Control) announce(now time.Time) []gossip.Heartbeat {
	if c.peers == nil {
		return nil
	}
	return c.addMarks(c.peers.Announce(), now)
}

// MarksDue requests heartbeats to all partners; it is sent after a receive from MarksChanged.
type MarksDue struct {
	// At is the present time.
	At time.Time
	// Heartbeats receives the heartbeats; it must be buffered, since the send must not block.
	Heartbeats chan<- []gossip.Heartbeat
}

func (e MarksDue) apply(c *Control, _ *Snapshot) { e.Heartbeats <- c.announce(e.At) }

// addMarks adds the marks of leaving backend servers to heartbeats to partners whose last reply had another hash.
func (c *Control) addMarks(heartbeats []gossip.Heartbeat, now time.Time) []gossip.Heartbeat {
	if len(heartbeats) == 0 {
		return nil
	}
	marks := c.servers.drains.Marks(now)
	hash := drain.Hash(marks)
	for i := range heartbeats {
		heartbeats[i].Message.MarksHash = hash
		if c.peerMarks[heartbeats[i].To.Name] != hash {
			heartbeats[i].Message.Marks = marks
		}
	}
	return heartbeats
}

// addReplyMarks adds the marks of leaving backend servers to a reply unless their hash equals peerHash.
func (c *Control) addReplyMarks(reply gossip.Message, peerHash uint64, now time.Time) gossip.Message {
	marks := c.servers.drains.Marks(now)
	if reply.MarksHash = drain.Hash(marks); reply.MarksHash != peerHash {
		reply.Marks = marks
	}
	return reply
}

// mergeMarks merges marks of leaving backend servers that were received from a peer.
func (c *Control) mergeMarks(next *Snapshot, marks []drain.Mark, now time.Time) {
	c.servers.drains.Merge(marks, now)
	for _, mark := range marks {
		c.updateUsable(next, mark.Server)
	}
}

// MarksChanged returns a channel that receives a value when a backend server starts to leave, so that peers are
// notified before the next regular heartbeat.
func (c *Control) MarksChanged() <-chan struct{} { return c.marksChanged }

// signalMarksChanged sends on the channel of MarksChanged; signals that have not been received yet are merged into one.
func (c *Control) signalMarksChanged() {
	select {
	case c.marksChanged <- struct{}{}:
	default:
	}
}

// HeartbeatReceived passes on a heartbeat of another instance and requests the reply.
type HeartbeatReceived struct {
	// At is the time of arrival.
	At time.Time
	// Message is the heartbeat.
	Message gossip.Message
	// Reply receives the reply and must be buffered; it is closed instead if this incarnation is not registered yet.
	Reply chan<- gossip.Message
}

func (e HeartbeatReceived) apply(c *Control, next *Snapshot) {
	if c.peers == nil {
		close(e.Reply)
		return
	}
	reply := c.peers.Receive(e.At, e.Message)
	c.mergeMarks(next, e.Message.Marks, e.At)
	e.Reply <- c.addReplyMarks(reply, e.Message.MarksHash, e.At)
	c.publishPeers(next)
}

// HeartbeatSucceeded passes on the reply to a heartbeat.
type HeartbeatSucceeded struct {
	// At is the time of arrival.
	At time.Time
	// Name is the name of the instance that the heartbeat was sent to.
	Name string
	// Reply is the reply.
	Reply gossip.Message
}

func (e HeartbeatSucceeded) apply(c *Control, next *Snapshot) {
	c.peers.HeartbeatSucceeded(e.At, e.Name, e.Reply)
	c.mergeMarks(next, e.Reply.Marks, e.At)
	c.peerMarks[e.Name] = e.Reply.MarksHash
	c.publishPeers(next)
}

// HeartbeatFailed is sent when a heartbeat failed or timed out.
type HeartbeatFailed struct {
	// At is the present time.
	At time.Time
	// Name is the name of the instance that the heartbeat was sent to.
	Name string
	// Epoch is the epoch of the incarnation that the heartbeat was sent to.
	Epoch uint64
}

func (e HeartbeatFailed) apply(c *Control, next *Snapshot) {
	c.peers.HeartbeatFailed(e.At, e.Name, e.Epoch)
	delete(c.peerMarks, e.Name)
	c.publishPeers(next)
}

// SelfLeaving is sent when this incarnation stops; it requests the heartbeats that notify its partners.
type SelfLeaving struct {
	// Heartbeats receives the heartbeats; it must be buffered, since the send must not block.
	Heartbeats chan<- []gossip.Heartbeat
}

func (e SelfLeaving) apply(c *Control, _ *Snapshot) {
	if c.peers == nil {
		e.Heartbeats <- nil
		return
	}
	e.Heartbeats <- c.peers.Leave()
}

// publishPeers copies the state of the members into next if it has changed.
func (c *Control) publishPeers(next *Snapshot) {
	if next.Superseded = c.peers.Superseded(); c.peers.Revision() == c.peersRevision {
		return
	}
	c.peersRevision = c.peers.Revision()
	next.Fleet = c.peers.All()
}
