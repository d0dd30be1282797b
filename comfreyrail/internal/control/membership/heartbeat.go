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
	heartbeatTimeout = time.Second
	statusTimeout    = 2 * time.Second
	statusParallel   = 16
)

// beat sends the heartbeats that are due.
func (m *Membership) beat(ctx context.Context) {
	m.sendDue(ctx, func(beats chan<- []gossip.Heartbeat) control.Event {
		return control.HeartbeatsDue{At: time.Now(), Heartbeats: beats}
	})
}

// Announce tells the partners at once that a generation of the tables is in force here.
func (m *Membership) Announce(ctx context.Context, head gossip.Offer) {
	m.sendDue(ctx, func(beats chan<- []gossip.Heartbeat) control.Event {
		return control.GenerationInstalled{At: time.Now(), Offer: head, Heartbeats: beats}
	})
}

// hurry tells the partners at once of news about leaving backend servers.
func (m *Membership) hurry(ctx context.Context) {
	m.sendDue(ctx, func(beats chan<- []gossip.Heartbeat) control.Event {
		return control.MarksDue{At: time.Now(), Heartbeats: beats}
	})
}

// sendDue sends the heartbeats with which the control goroutine answers the event.
func (m *Membership) sendDue(ctx context.Context, event func(beats chan<- []gossip.Heartbeat) control.Event) {
	beats := make(chan []gossip.Heartbeat, 1)
	m.config.Control.Send(ctx, event(beats))
	for _, due := range receive(ctx, beats) {
		go m.send(ctx, due)
	}
}

// send carries one heartbeat and its reply.
func (m *Membership) send(ctx context.Context, beat gossip.Heartbeat) {
	call, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply gossip.Message
	if err := m.Call(call, beat.To, KindHeartbeat, beat.Message, &reply); err != nil {
		m.log.WithError(err).Debug("heartbeat failed")
		m.config.Control.Send(ctx, control.HeartbeatFailed{At: time.Now(), Name: beat.To.Name, Epoch: beat.To.Epoch})
		return
	}
	m.config.Control.Send(ctx, control.HeartbeatAnswered{At: time.Now(), Name: beat.To.Name, Reply: reply})
	m.hear(ctx, beat.To, reply.Offer)
}

func (m *Membership) sendAll(ctx context.Context, beats []gossip.Heartbeat) {
	var sending sync.WaitGroup
	for _, due := range beats {
		sending.Go(func() { m.send(ctx, due) })
	}
	sending.Wait()
}

// hear passes on which generation another instance has in force.
func (m *Membership) hear(ctx context.Context, from member.Member, head gossip.Offer) {
	if m.OnOffer != nil && head.Generation > 0 {
		m.OnOffer(ctx, from, head)
	}
}

// ServeHeartbeat answers a heartbeat of another instance.
func (m *Membership) ServeHeartbeat(ctx context.Context, from member.Member, body []byte) (answer any, err error) {
	defer errors.DeferredAnnotatef(&err, "heartbeat of %q", from.Name)
	var message gossip.Message
	if err = peer.Decode(body, &message); err != nil {
		return nil, err
	}
	if message.From != from.Name {
		return nil, errors.Errorf("sender calls itself %q", message.From)
	}
	replies := make(chan gossip.Message, 1)
	m.config.Control.Send(ctx, control.HeartbeatReceived{At: time.Now(), Message: message, Reply: replies})
	select {
	case reply, ok := <-replies:
		if !ok {
			return nil, errors.New("not registered yet")
		}
		m.hear(ctx, from, message.Offer)
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ServeStatus answers with the record of this incarnation and the generation in force.
func (m *Membership) ServeStatus(context.Context, member.Member, []byte) (answer any, err error) {
	snapshot := m.config.Control.Snapshot()
	self := snapshot.Self
	self.Generation = snapshot.Tables.Generation
	return self, nil
}

// Fleet asks every member for the generation that it has in force; zero stands for one that does not answer.
func (m *Membership) Fleet(ctx context.Context) []member.Member {
	snapshot := m.config.Control.Snapshot()
	members := snapshot.Members()
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	slots := make(chan struct{}, statusParallel)
	var asking sync.WaitGroup
	for i := range members {
		if members[i].Name == snapshot.Self.Name {
			members[i].Generation = snapshot.Tables.Generation
			continue
		}
		asking.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			var status member.Member
			if err := m.Call(ctx, members[i], KindStatus, struct{}{}, &status); err == nil {
				members[i].Generation = status.Generation
			}
		})
	}
	asking.Wait()
	return members
}

func receive(ctx context.Context, beats <-chan []gossip.Heartbeat) []gossip.Heartbeat {
	select {
	case due := <-beats:
		return due
	case <-ctx.Done():
		return nil
	}
}
