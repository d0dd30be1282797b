package membership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/pause"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/peer"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// keyPrefix begins the keys of the records of the instances.
const keyPrefix = "member-"

// Rates of the whole fleet at the platform's service, in calls per second.
const (
	renewalsPerSecond = 20
	listingsPerSecond = 0.5
)

// Times of the calls to the platform's service.
const (
	minRenewInterval = 5 * time.Second
	minListInterval  = 30 * time.Second
	leaseIntervals   = 4 // leaseIntervals is the number of renewals that may fail before the lease lapses.
	retryPause       = time.Second
	storeTimeout     = 3 * time.Second
)

// Kinds of calls between instances.
const (
	// KindHeartbeat carries a gossip.Message and is answered by one.
	KindHeartbeat peer.Kind = "heartbeat"
	// KindStatus asks for the record of the instance with the generation in force.
	KindStatus peer.Kind = "status"
)

// Config configures a Membership.
type Config struct {
	// Self is the record of this incarnation, without its epoch.
	Self member.Member
	// Store is the platform's service.
	Store *kv.Client
	// Control owns the view of the fleet.
	Control *control.Control
	// Log receives the log.
	Log *logrus.Entry
}

// Membership keeps this incarnation registered and its view of the fleet fresh.
type Membership struct {
	// Call calls another instance.
	Call func(ctx context.Context, to member.Member, kind peer.Kind, message, result any) error
	// OnOffer hears which generation of the tables another instance has in force; nil ignores it.
	OnOffer func(ctx context.Context, from member.Member, head gossip.Offer)

	config Config
	store  *kv.Client
	log    *logrus.Entry
	lease  atomic.Pointer[kv.Lease]
}

// New returns a Membership; Call must be set before Serve.
func New(config Config) *Membership {
	return &Membership{config: config, store: config.Store, log: config.Log}
}

// Serve registers this incarnation and exchanges heartbeats until the context ends.
func (m *Membership) Serve(ctx context.Context) error {
	if err := m.registerFirst(ctx); err != nil {
		return err
	}
	go m.listMembers(ctx)
	go m.renewLease(ctx)
	ticker := time.NewTicker(gossip.DefaultInterval)
	defer ticker.Stop()
	m.beat(ctx)
	for {
		select {
		case <-ticker.C:
			m.beat(ctx)
		case <-m.config.Control.MarksChanged():
			m.hurry(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// registerFirst registers until it succeeds.
func (m *Membership) registerFirst(ctx context.Context) error {
	for {
		err := m.register(ctx)
		if err == nil {
			return nil
		}
		m.log.WithError(err).Warn("cannot register with the platform's service")
		if err = pause.For(ctx, retryPause); err != nil {
			return err
		}
	}
}

// register takes a lease and writes the record of this incarnation under it.
func (m *Membership) register(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "register instance")
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := m.store.Grant(ctx, leaseIntervals*m.renewInterval())
	if err != nil {
		return err
	}
	self := m.config.Control.Snapshot().Self
	if self.Epoch == 0 {
		self = m.config.Self
		self.Epoch = lease.ID
	}
	if err = m.writeRecord(ctx, self, lease.ID); err != nil {
		return err
	}
	m.lease.Store(&lease)
	m.config.Control.Send(ctx, control.Registered{Self: self})
	return nil
}

// writeRecord replaces the record of an earlier incarnation, never that of a later one.
func (m *Membership) writeRecord(ctx context.Context, self member.Member, lease uint64) (err error) {
	key := keyPrefix + self.Name
	value, err := cbor.Marshal(self)
	if err != nil {
		return err
	}
	record, err := m.store.Get(ctx, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	if found, decodeErr := decodeMember(record.Value); decodeErr == nil && found.Epoch > self.Epoch {
		return errors.Errorf("a later incarnation of %q with epoch %d is registered", self.Name, found.Epoch)
	}
	_, err = m.store.Put(ctx, key, kv.Put{Value: value, Expect: record.Version, Lease: lease})
	return err
}

func decodeMember(value []byte) (found member.Member, err error) {
	defer errors.DeferredAnnotatef(&err, "record of an instance")
	err = peer.Decode(value, &found)
	return found, err
}

// renewInterval grows with the fleet, so that the rate of renewals does not.
func (m *Membership) renewInterval() time.Duration {
	members := len(m.config.Control.Snapshot().Fleet)
	return max(minRenewInterval, time.Duration(members)*time.Second/renewalsPerSecond)
}

// renewLease renews the lease, and registers again if the lease is lost or too short for the fleet.
func (m *Membership) renewLease(ctx context.Context) {
	for pause.For(ctx, m.renewInterval()) == nil {
		lease := m.lease.Load()
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := m.store.Renew(call, lease.ID)
		cancel()
		short := lease.TTL < leaseIntervals*m.renewInterval()/2
		if errors.Is(err, kv.ErrNotFound) || err == nil && short {
			err = m.register(ctx)
		}
		if err != nil && ctx.Err() == nil {
			m.log.WithError(err).Warn("cannot renew the lease")
		}
	}
}

// listMembers reads the records of all instances, rarely enough for the platform's service.
func (m *Membership) listMembers(ctx context.Context) {
	wait := time.Duration(0)
	for pause.For(ctx, wait) == nil {
		members, err := m.list(ctx)
		if err != nil {
			m.log.WithError(err).Warn("cannot list the instances")
			wait = retryPause
			continue
		}
		m.config.Control.Send(ctx, control.MembersListed{At: time.Now(), Members: members})
		interval := float64(len(members)) / listingsPerSecond * float64(time.Second)
		wait = pause.Jitter(max(minListInterval, time.Duration(interval)))
	}
}

func (m *Membership) list(ctx context.Context) (members []member.Member, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, err := m.store.List(ctx, keyPrefix)
	if err != nil {
		return nil, err
	}
	for _, record := range records {
		found, decodeErr := decodeMember(record.Value)
		if decodeErr != nil {
			m.log.WithError(decodeErr).WithField("key", record.Key).Error("malformed record")
			continue
		}
		members = append(members, found)
	}
	return members, nil
}

// Resolve returns the record of the instance with the name and fingerprint, from the view or the platform's service.
func (m *Membership) Resolve(ctx context.Context, name, fingerprint string) (found member.Member, err error) {
	defer errors.DeferredAnnotatef(&err, "resolve instance %q", name)
	for _, known := range m.config.Control.Snapshot().Fleet {
		if known.Member.Name == name && known.Member.Fingerprint == fingerprint {
			return known.Member, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := m.store.Get(ctx, keyPrefix+name)
	if err != nil {
		return found, err
	}
	if found, err = decodeMember(record.Value); err != nil {
		return found, err
	}
	if found.Name != name || found.Fingerprint != fingerprint {
		return member.Member{}, errors.Errorf("fingerprint %q is not the recorded one", fingerprint)
	}
	m.config.Control.Send(ctx, control.MemberJoined{At: time.Now(), Member: found})
	return found, nil
}

// Stop tells the partners that this incarnation stops, and gives up the lease.
func (m *Membership) Stop(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "give up the lease")
	beats := make(chan []gossip.Heartbeat, 1)
	m.config.Control.Send(ctx, control.SelfLeaving{Heartbeats: beats})
	m.sendAll(ctx, receive(ctx, beats))
	lease := m.lease.Load()
	if lease == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return m.store.Revoke(ctx, lease.ID)
}
