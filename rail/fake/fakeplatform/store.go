package fakeplatform

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/kv"
)

// store holds the records and leases.
type store struct {
	mu       sync.Mutex
	now      func() time.Time
	version  uint64
	records  map[string]kv.Record
	expiries map[string]time.Time
	leases   map[uint64]lease
	changed  chan struct{}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore(now func() time.Time) *store {
	return &store{
		now:      now,
		records:  make(map[string]kv.Record),
		expiries: make(map[string]time.Time),
		leases:   make(map[uint64]lease),
		changed:  make(chan struct{}),
	}
}

func (s *store) get(key string) (kv.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	record, ok := s.records[key]
	if !ok {
		return kv.Record{}, kv.ErrNotFound
	}
	return record, nil
}

func (s *store) list(prefix string) []kv.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	records := make([]kv.Record, 0)
	for key, record := range s.records {
		if strings.HasPrefix(key, prefix) {
			records = append(records, record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records
}

func (s *store) put(key string, put kv.Put) (kv.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.records[key].Version != put.Expect {
		return kv.Record{}, kv.ErrConflict
	}
	if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
		return kv.Record{}, kv.ErrNotFound
	}
	s.version++
	record := kv.Record{Key: key, Value: put.Value, Version: s.version, Lease: put.Lease}
	s.records[key] = record
	delete(s.expiries, key)
	if put.TTL > 0 {
		s.expiries[key] = s.now().Add(put.TTL)
	}
	s.announce()
	return record, nil
}

func (s *store) remove(key string, expect uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.records[key].Version != expect {
		return kv.ErrConflict
	}
	s.drop(key)
	return nil
}

func (s *store) grant(ttl time.Duration) kv.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.leases[s.version] = lease{ttl: ttl, expires: s.now().Add(ttl)}
	return kv.Lease{ID: s.version, TTL: ttl}
}

func (s *store) renew(id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held, ok := s.leases[id]
	if !ok {
		return kv.ErrNotFound
	}
	held.expires = s.now().Add(held.ttl)
	s.leases[id] = held
	return nil
}

func (s *store) revoke(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
}

// lapseAll ends every lease as if none had been renewed in time.
func (s *store) lapseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.end(id)
	}
}

// wait returns the record once its version exceeds after, or a channel that closes at the next change.
func (s *store) wait(key string, after uint64) (record kv.Record, found bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	record, found = s.records[key]
	return record, found && record.Version > after, s.changed
}

// expire ends lapsed leases and drops expired records.
func (s *store) expire() {
	now := s.now()
	for id, held := range s.leases {
		if now.After(held.expires) {
			s.end(id)
		}
	}
	for key, expires := range s.expiries {
		if now.After(expires) {
			s.drop(key)
		}
	}
}

func (s *store) end(id uint64) {
	delete(s.leases, id)
	for key, record := range s.records {
		if record.Lease == id {
			s.drop(key)
		}
	}
}

func (s *store) drop(key string) {
	delete(s.records, key)
	delete(s.expiries, key)
	s.version++
	s.announce()
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}
