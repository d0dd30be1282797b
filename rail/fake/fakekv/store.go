package fakekv

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/kv"
)

// store holds the records and the leases.
type store struct {
	mu       sync.Mutex
	now      func() time.Time
	version  uint64 // of the last change; also numbers the leases
	records  map[string]kv.Record
	expiries map[string]time.Time // of the records with a time to live
	leases   map[uint64]lease
	changed  chan struct{} // closed at the next change
}

// lease is a lease that has neither expired nor been revoked.
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
	s.expireLocked()
	record, ok := s.records[key]
	if !ok {
		return kv.Record{}, kv.ErrNotFound
	}
	return record, nil
}

func (s *store) list(prefix string) []kv.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
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
	s.expireLocked()
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
	s.notifyChangedLocked()
	return record, nil
}

func (s *store) delete(key string, expect uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if s.records[key].Version != expect {
		return kv.ErrConflict
	}
	s.deleteRecordLocked(key)
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
	s.expireLocked()
	l, ok := s.leases[id]
	if !ok {
		return kv.ErrNotFound
	}
	l.expires = s.now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

func (s *store) revoke(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revokeLocked(id)
}

// expireAll ends every lease, as if none had been renewed in time.
func (s *store) expireAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.revokeLocked(id)
	}
}

// getAfter returns the current record, whether it exists with a version greater than after, and a channel that is closed at the
// next change of any record.
func (s *store) getAfter(key string, after uint64) (record kv.Record, found bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	record, found = s.records[key]
	return record, found && record.Version > after, s.changed
}

// expireLocked ends the leases and removes the records whose time to live has passed. s.mu must be held.
func (s *store) expireLocked() {
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.revokeLocked(id)
		}
	}
	for key, expires := range s.expiries {
		if now.After(expires) {
			s.deleteRecordLocked(key)
		}
	}
}

// revokeLocked ends a lease and removes its records. s.mu must be held.
func (s *store) revokeLocked(id uint64) {
	delete(s.leases, id)
	for key, record := range s.records {
		if record.Lease == id {
			s.deleteRecordLocked(key)
		}
	}
}

// deleteRecordLocked removes a record and wakes the watches. s.mu must be held.
func (s *store) deleteRecordLocked(key string) {
	delete(s.records, key)
	delete(s.expiries, key)
	s.version++
	s.notifyChangedLocked()
}

// notifyChangedLocked wakes the watches. s.mu must be held.
func (s *store) notifyChangedLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}
