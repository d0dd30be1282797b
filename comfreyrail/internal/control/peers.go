package control

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/drain"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// Members returns the instances that are alive or suspect, this one included, by name.
func (s *Snapshot) Members() []member.Member {
	members := make([]member.Member, 0, len(s.Fleet))
	for _, update := range s.Fleet {
		if update.State <= gossip.Suspect {
			members = append(members, update.Member)
		}
	}
	return members
}

// Registered tells that this incarnation has its record in the platform's service.
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

// MembersListed tells which members the platform's service lists.
type MembersListed struct {
	// At is the time of the listing.
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

// MemberJoined tells that an instance that was not known called and has its record in the platform's service.
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

// HeartbeatsDue asks for the heartbeats to send.
type HeartbeatsDue struct {
	// At is the present time.
	At time.Time
	// Heartbeats receives the heartbeats; it must have room for them.
	Heartbeats chan<- []gossip.Heartbeat
}

func (e HeartbeatsDue) apply(c *Control, next *Snapshot) {
	if c.peers == nil {
		e.Heartbeats <- nil
		return
	}
	e.Heartbeats <- c.marked(c.peers.Tick(e.At), e.At)
	c.publishPeers(next)
}

// GenerationInstalled tells that a generation of the tables is in force and asks for the heartbeats that announce it.
type GenerationInstalled struct {
	// At is the present time.
	At time.Time
	// Offer is the generation.
	Offer gossip.Offer
	// Heartbeats receives the heartbeats; it must have room for them.
	Heartbeats chan<- []gossip.Heartbeat
}

func (e GenerationInstalled) apply(c *Control, _ *Snapshot) {
	if c.peers != nil {
		c.peers.SetOffer(e.Offer)
	}
	e.Heartbeats <- c.announce(e.At)
}

// announce returns heartbeats to all partners, none before this incarnation is registered.
func (c *Control) announce(now time.Time) []gossip.Heartbeat {
	if c.peers == nil {
		return nil
	}
	return c.marked(c.peers.Announce(), now)
}

// MarksDue asks for heartbeats that carry at once what MarksChanged told of.
type MarksDue struct {
	// At is the present time.
	At time.Time
	// Heartbeats receives the heartbeats; it must have room for them.
	Heartbeats chan<- []gossip.Heartbeat
}

func (e MarksDue) apply(c *Control, _ *Snapshot) { e.Heartbeats <- c.announce(e.At) }

// marked adds the signs of leaving backend servers to heartbeats, for partners that may not have the same ones.
func (c *Control) marked(beats []gossip.Heartbeat, now time.Time) []gossip.Heartbeat {
	if len(beats) == 0 {
		return nil
	}
	marks := c.servers.drains.Marks(now)
	signs := drain.Hash(marks)
	for i := range beats {
		beats[i].Message.MarksHash = signs
		if c.shown[beats[i].To.Name] != signs {
			beats[i].Message.Marks = marks
		}
	}
	return beats
}

// replied adds the signs to a reply, if the asker does not have the same ones.
func (c *Control) replied(reply gossip.Message, asker uint64, now time.Time) gossip.Message {
	marks := c.servers.drains.Marks(now)
	if reply.MarksHash = drain.Hash(marks); reply.MarksHash != asker {
		reply.Marks = marks
	}
	return reply
}

// mergeMarks takes the signs of leaving backend servers that a peer passed on.
func (c *Control) mergeMarks(next *Snapshot, marks []drain.Mark, now time.Time) {
	c.servers.drains.Merge(marks, now)
	for _, mark := range marks {
		c.judge(next, mark.Server)
	}
}

// MarksChanged tells of news about a leaving backend server that peers should hear before the next heartbeat.
func (c *Control) MarksChanged() <-chan struct{} { return c.urgent }

// hurry makes MarksChanged tell of news.
func (c *Control) hurry() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// HeartbeatReceived brings a heartbeat of another instance and asks for the reply.
type HeartbeatReceived struct {
	// At is the time of arrival.
	At time.Time
	// Message is the heartbeat.
	Message gossip.Message
	// Reply receives the reply; it must have room for it.
	Reply chan<- gossip.Message
}

func (e HeartbeatReceived) apply(c *Control, next *Snapshot) {
	if c.peers == nil {
		close(e.Reply)
		return
	}
	reply := c.peers.Receive(e.At, e.Message)
	c.mergeMarks(next, e.Message.Marks, e.At)
	e.Reply <- c.replied(reply, e.Message.MarksHash, e.At)
	c.publishPeers(next)
}

// HeartbeatAnswered brings the reply to a heartbeat.
type HeartbeatAnswered struct {
	// At is the time of arrival.
	At time.Time
	// Name is the name of the instance that was asked.
	Name string
	// Reply is the reply.
	Reply gossip.Message
}

func (e HeartbeatAnswered) apply(c *Control, next *Snapshot) {
	c.peers.HeartbeatAnswered(e.At, e.Name, e.Reply)
	c.mergeMarks(next, e.Reply.Marks, e.At)
	c.shown[e.Name] = e.Reply.MarksHash
	c.publishPeers(next)
}

// HeartbeatFailed tells that a heartbeat had no reply.
type HeartbeatFailed struct {
	// At is the present time.
	At time.Time
	// Name is the name of the instance that was asked.
	Name string
	// Epoch is the epoch of the incarnation that was asked.
	Epoch uint64
}

func (e HeartbeatFailed) apply(c *Control, next *Snapshot) {
	c.peers.HeartbeatFailed(e.At, e.Name, e.Epoch)
	delete(c.shown, e.Name)
	c.publishPeers(next)
}

// SelfLeaving tells that this incarnation stops and asks for the heartbeats that tell the others.
type SelfLeaving struct {
	// Heartbeats receives the heartbeats; it must have room for them.
	Heartbeats chan<- []gossip.Heartbeat
}

func (e SelfLeaving) apply(c *Control, _ *Snapshot) {
	if c.peers == nil {
		e.Heartbeats <- nil
		return
	}
	e.Heartbeats <- c.peers.Leave()
}

// publishPeers copies the view of the fleet into the snapshot if it has changed.
func (c *Control) publishPeers(next *Snapshot) {
	if next.Superseded = c.peers.Superseded(); c.peers.Revision() == c.published {
		return
	}
	c.published = c.peers.Revision()
	next.Fleet = c.peers.All()
}
