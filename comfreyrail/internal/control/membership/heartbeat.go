package membership

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/peer"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// Limits of the calls to other instances.
const (
	heartbeatTimeout   = time.Second
	recordTimeout      = 2 * time.Second
	maxParallelRecords = 16
)

// sendDueHeartbeats sends the heartbeats of the present interval.
func (m *Membership) sendDueHeartbeats(ctx context.Context) {
	m.sendHeartbeats(ctx, func(heartbeats chan<- []gossip.Heartbeat) control.Event {
		return control.HeartbeatsDue{At: time.Now(), Heartbeats: heartbeats}
	})
}

// Announce immediately sends heartbeats with the generation of the tables that is in force at this instance, to all
// partners that have none in flight.
func (m *Membership) Announce(ctx context.Context, offer gossip.Offer) {
	m.sendHeartbeats(ctx, func(heartbeats chan<- []gossip.Heartbeat) control.Event {
		return control.GenerationInstalled{At: time.Now(), Offer: offer, Heartbeats: heartbeats}
	})
}

// sendMarks immediately sends heartbeats with the marks of leaving backend servers, to all partners that have none in
// flight.
func (m *Membership) sendMarks(ctx context.Context) {
	m.sendHeartbeats(ctx, func(heartbeats chan<- []gossip.Heartbeat) control.Event {
		return control.MarksDue{At: time.Now(), Heartbeats: heartbeats}
	})
}

// sendHeartbeats sends the event to the control goroutine and starts sending the heartbeats that it returns.
func (m *Membership) sendHeartbeats(ctx context.Context, event func(heartbeats chan<- []gossip.Heartbeat) control.Event) {
	heartbeats := make(chan []gossip.Heartbeat, 1)
	m.config.Control.Send(ctx, event(heartbeats))
	for _, heartbeat := range receiveHeartbeats(ctx, heartbeats) {
		go m.sendHeartbeat(ctx, heartbeat)
	}
}

// sendHeartbeat sends one heartbeat and passes the response or the failure to the control goroutine.
func (m *Membership) sendHeartbeat(ctx context.Context, heartbeat gossip.Heartbeat) {
	callCtx, cancel := m.config.Clock.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var response gossip.Message
	if err := m.Call(callCtx, heartbeat.To, KindHeartbeat, heartbeat.Message, &response); err != nil {
		m.log.WithError(err).Debug("heartbeat failed")
		m.config.Control.Send(ctx, control.HeartbeatFailed{At: time.Now(), Name: heartbeat.To.Name, Epoch: heartbeat.To.Epoch})
		return
	}
	m.config.Control.Send(ctx, control.HeartbeatSucceeded{At: time.Now(), Name: heartbeat.To.Name, Response: response})
	m.handleOffer(ctx, heartbeat.To, response.Offer)
}

// sendAndWait sends the heartbeats concurrently and waits until each has a response or has failed.
func (m *Membership) sendAndWait(ctx context.Context, heartbeats []gossip.Heartbeat) {
	var group sync.WaitGroup
	for _, heartbeat := range heartbeats {
		group.Go(func() { m.sendHeartbeat(ctx, heartbeat) })
	}
	group.Wait()
}

// handleOffer calls OnOffer if another instance has a generation in force.
func (m *Membership) handleOffer(ctx context.Context, from member.Member, offer gossip.Offer) {
	if m.OnOffer != nil && offer.Generation > 0 {
		m.OnOffer(ctx, from, offer)
	}
}

// ServeHeartbeat handles a heartbeat of another instance and returns the response.
//
// It returns an error if the message is malformed, if it names another sender, or if this incarnation is not registered
// yet.
func (m *Membership) ServeHeartbeat(ctx context.Context, from member.Member, body []byte) (response any, err error) {
	defer errors.DeferredAnnotatef(&err, "heartbeat of %q", from.Name)
	var message gossip.Message
	if err = peer.Decode(body, &message); err != nil {
		return nil, err
	}
	if message.From != from.Name {
		return nil, errors.Errorf("sender calls itself %q", message.From)
	}
	responses := make(chan gossip.Message, 1)
	m.config.Control.Send(ctx, control.HeartbeatReceived{At: time.Now(), Message: message, Response: responses})
	select {
	case result, ok := <-responses:
		if !ok {
			return nil, errors.New("not registered yet")
		}
		m.handleOffer(ctx, from, message.Offer)
		return result, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ServeRecord returns the record of this incarnation with the generation that it has in force.
func (m *Membership) ServeRecord(context.Context, member.Member, []byte) (response any, err error) {
	snapshot := m.config.Control.Snapshot()
	self := snapshot.Self
	self.Generation = snapshot.Tables.Generation
	return self, nil
}

// MemberGenerations returns the records of all members, each with the generation that it reports to have in force, or
// zero if it does not respond within recordTimeout.
func (m *Membership) MemberGenerations(ctx context.Context) []member.Member {
	snapshot := m.config.Control.Snapshot()
	members := snapshot.Members()
	ctx, cancel := m.config.Clock.WithTimeout(ctx, recordTimeout)
	defer cancel()
	slots := make(chan struct{}, maxParallelRecords)
	var group sync.WaitGroup
	for i := range members {
		if members[i].Name == snapshot.Self.Name {
			members[i].Generation = snapshot.Tables.Generation
			continue
		}
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			var record member.Member
			if err := m.Call(ctx, members[i], KindRecord, struct{}{}, &record); err == nil {
				members[i].Generation = record.Generation
			}
		})
	}
	group.Wait()
	return members
}

// receiveHeartbeats returns the next value of the channel, or nil if ctx ends first.
func receiveHeartbeats(ctx context.Context, heartbeats <-chan []gossip.Heartbeat) []gossip.Heartbeat {
	select {
	case due := <-heartbeats:
		return due
	case <-ctx.Done():
		return nil
	}
}
