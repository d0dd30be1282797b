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
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/runclock"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// keyPrefix is the prefix of the keys under which the records of the instances are stored.
const keyPrefix = "member-"

// Rates of the calls of all instances together to the store, in calls per second.
const (
	renewalsPerSecond = 20
	listingsPerSecond = 0.5
)

// Intervals and timeouts of the calls to the store.
const (
	minRenewInterval = 5 * time.Second
	minListInterval  = 30 * time.Second
	// leaseIntervals is the lifetime of the lease in renewal intervals, so that some renewals may fail before it expires.
	leaseIntervals = 4
	retryInterval  = time.Second
	storeTimeout   = 3 * time.Second
)

// Kinds of calls between instances.
const (
	// KindHeartbeat carries a gossip.Message; the response is another one.
	KindHeartbeat peer.Kind = "heartbeat"
	// KindRecord requests the record of the instance, with the generation that it has in force.
	KindRecord peer.Kind = "status"
)

// Config configures a Membership.
type Config struct {
	// Self is the record of this incarnation, without its epoch.
	Self member.Member
	// Store is the client of the platform's store.
	Store *kv.Client
	// Control holds the list of members and their state.
	Control *control.Control
	// Clock is the clock of the timeouts of calls; nil means an ordinary one.
	Clock *runclock.Clock
	// Log receives a line for each failed registration, renewal, listing or heartbeat, and for each malformed record in
	// a listing.
	Log *logrus.Entry
}

// Membership keeps this incarnation registered in the store and the list of members up to date.
type Membership struct {
	// Call sends a message to another instance and decodes the response into result.
	Call func(ctx context.Context, to member.Member, kind peer.Kind, message, result any) error
	// OnOffer is called with the generation of the tables that another instance has in force, if it has one; it may
	// be nil.
	OnOffer func(ctx context.Context, from member.Member, offer gossip.Offer)

	config Config
	store  *kv.Client
	log    *logrus.Entry
	lease  atomic.Pointer[kv.Lease]
}

// New returns a Membership; Call must be set before Serve.
func New(config Config) *Membership {
	return &Membership{config: config, store: config.Store, log: config.Log}
}

// Serve registers this incarnation and exchanges heartbeats until ctx ends; it returns the error of ctx.
func (m *Membership) Serve(ctx context.Context) error {
	if err := m.registerWithRetry(ctx); err != nil {
		return err
	}
	go m.listMembers(ctx)
	go m.renewLease(ctx)
	ticker := time.NewTicker(gossip.DefaultInterval)
	defer ticker.Stop()
	m.sendDueHeartbeats(ctx)
	for {
		select {
		case <-ticker.C:
			m.sendDueHeartbeats(ctx)
		case <-m.config.Control.ServerLeaving():
			m.sendMarks(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// registerWithRetry calls register every retryInterval until it succeeds or ctx ends.
func (m *Membership) registerWithRetry(ctx context.Context) error {
	for {
		err := m.register(ctx)
		if err == nil {
			return nil
		}
		m.log.WithError(err).Warn("cannot register in the store")
		if err = pause.For(ctx, retryInterval); err != nil {
			return err
		}
	}
}

// register creates a lease and writes the record of this incarnation under it; the ID of the first lease
// becomes the epoch.
func (m *Membership) register(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "register instance")
	ctx, cancel := m.config.Clock.WithTimeout(ctx, storeTimeout)
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

// writeRecord writes the record of this incarnation over that of an earlier one; it returns an error if a later one is
// registered.
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

// renewInterval returns the time between renewals, which grows with the fleet, so that all instances together make at most
// renewalsPerSecond calls.
func (m *Membership) renewInterval() time.Duration {
	instances := len(m.config.Control.Snapshot().KnownInstances)
	return max(minRenewInterval, time.Duration(instances)*time.Second/renewalsPerSecond)
}

// renewLease renews the lease periodically, and registers again if the lease is lost or its lifetime is less than half
// of what the size of the fleet requires.
func (m *Membership) renewLease(ctx context.Context) {
	for pause.For(ctx, m.renewInterval()) == nil {
		lease := m.lease.Load()
		callCtx, cancel := m.config.Clock.WithTimeout(ctx, storeTimeout)
		err := m.store.Renew(callCtx, lease.ID)
		cancel()
		tooShort := lease.TTL < leaseIntervals*m.renewInterval()/2
		if errors.Is(err, kv.ErrNotFound) || err == nil && tooShort {
			err = m.register(ctx)
		}
		if err != nil && ctx.Err() == nil {
			m.log.WithError(err).Warn("cannot renew the lease")
		}
	}
}

// listMembers periodically reads the records of all members and passes them to the control goroutine.
//
// The interval grows with the number of records, to limit the load on the store.
func (m *Membership) listMembers(ctx context.Context) {
	wait := time.Duration(0)
	for pause.For(ctx, wait) == nil {
		members, err := m.readMembers(ctx)
		if err != nil {
			m.log.WithError(err).Warn("cannot read the members from the store")
			wait = retryInterval
			continue
		}
		m.config.Control.Send(ctx, control.MembersListed{At: time.Now(), Members: members})
		interval := float64(len(members)) / listingsPerSecond * float64(time.Second)
		wait = pause.Jitter(max(minListInterval, time.Duration(interval)))
	}
}

func (m *Membership) readMembers(ctx context.Context) (members []member.Member, err error) {
	ctx, cancel := m.config.Clock.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, err := m.store.List(ctx, keyPrefix)
	if err != nil {
		return nil, err
	}
	for _, record := range records {
		found, decodeErr := decodeMember(record.Value)
		if decodeErr != nil {
			m.log.WithError(decodeErr).WithField("key", record.Key).Error("record of a member is malformed")
			continue
		}
		members = append(members, found)
	}
	return members, nil
}

// Resolve returns the record of the instance with the name and fingerprint, from the snapshot or else from the store.
// It returns an error if the record has another fingerprint.
func (m *Membership) Resolve(ctx context.Context, name, fingerprint string) (found member.Member, err error) {
	defer errors.DeferredAnnotatef(&err, "resolve instance %q", name)
	for _, update := range m.config.Control.Snapshot().KnownInstances {
		if update.Member.Name == name && update.Member.Fingerprint == fingerprint {
			return update.Member, nil
		}
	}
	ctx, cancel := m.config.Clock.WithTimeout(ctx, storeTimeout)
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
	// An instance that registered after the last listing is added to the members now rather than at the next listing.
	m.config.Control.Send(ctx, control.MemberJoined{At: time.Now(), Member: found})
	return found, nil
}

// Stop notifies the heartbeat partners that this incarnation stops and revokes its lease, if it has one.
func (m *Membership) Stop(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "revoke the lease")
	heartbeats := make(chan []gossip.Heartbeat, 1)
	m.config.Control.Send(ctx, control.SelfLeaving{Heartbeats: heartbeats})
	m.sendAndWait(ctx, receiveHeartbeats(ctx, heartbeats))
	lease := m.lease.Load()
	if lease == nil {
		return nil
	}
	ctx, cancel := m.config.Clock.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return m.store.Revoke(ctx, lease.ID)
}
