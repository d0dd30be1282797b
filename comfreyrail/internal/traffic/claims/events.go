package claims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/kv"
)

// recordKeyPrefix is the prefix of the store keys of the records; the number of the shard follows.
const recordKeyPrefix = "claim-"

// claimRequested is the event of a request for a claim.
type claimRequested struct {
	request claim.Request
	reply   chan<- claim.Decision
}

func (e claimRequested) apply(c *Claims, now time.Time) claim.Actions {
	sequence, actions := c.registry.Claim(now, e.request)
	c.decisions[sequence] = e.reply
	return actions
}

// startRequested is the event that marks a granted claim as started, if its request may still be dispatched. reply
// receives whether it may.
type startRequested struct {
	sequence uint64
	reply    chan<- bool
}

func (e startRequested) apply(c *Claims, now time.Time) claim.Actions {
	e.reply <- c.registry.TryStart(now, e.sequence)
	return claim.Actions{}
}

// runFinished is the event of the end of a run, with its state and response.
type runFinished struct {
	sequence uint64
	state    claim.State
	response []byte
}

func (e runFinished) apply(c *Claims, now time.Time) claim.Actions {
	return c.registry.Finish(now, e.sequence, e.state, e.response)
}

// statusAwaited is the event that queries the status of a claim of this instance. reply receives the status once the
// request of the claim has ended.
type statusAwaited struct {
	sequence uint64
	reply    chan<- claim.Status
}

func (e statusAwaited) apply(c *Claims, _ time.Time) claim.Actions {
	c.waiters[e.sequence] = append(c.waiters[e.sequence], e.reply)
	return claim.Actions{}
}

// readCompleted is the event of the end of a read, with the record or the error.
type readCompleted struct {
	shard   int
	version uint64
	record  claim.Record
	err     error
}

func (e readCompleted) apply(c *Claims, now time.Time) claim.Actions {
	c.countStoreCall(e.err != nil)
	return c.registry.HandleRead(now, e.shard, e.version, e.record, e.err != nil)
}

// writeCompleted is the event of the end of a write, with its result.
type writeCompleted struct {
	shard   int
	version uint64
	result  claim.WriteResult
}

func (e writeCompleted) apply(c *Claims, now time.Time) claim.Actions {
	c.countStoreCall(e.result == claim.InDoubt)
	return c.registry.HandleWrite(now, e.shard, e.version, e.result)
}

// recordKey returns the store key of the record of the shard.
func recordKey(shard int) string { return fmt.Sprintf("%s%d", recordKeyPrefix, shard) }

// readRecord reads the record of the shard and sends a readCompleted; a record that does not exist is empty and no error.
func (c *Claims) readRecord(ctx context.Context, shard int) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	completed := readCompleted{shard: shard}
	var stored kv.Record
	if stored, completed.err = c.config.Store.Get(ctx, recordKey(shard)); completed.err == nil {
		completed.version = stored.Version
		completed.record, completed.err = claim.Decode(stored.Value)
	} else if errors.Is(completed.err, kv.ErrNotFound) {
		completed.err = nil
	}
	if completed.err != nil {
		c.config.Log.WithError(completed.err).Warn("cannot read claims")
	}
	c.send(completed)
}

// writeRecord writes a record if its version is as expected, and sends a writeCompleted.
func (c *Claims) writeRecord(ctx context.Context, write claim.Write) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	completed := writeCompleted{shard: write.Shard, result: claim.InDoubt}
	value, err := write.Record.Encode()
	if err == nil {
		completed.version, err = c.config.Store.Put(ctx, recordKey(write.Shard), kv.Put{Value: value, Expect: write.Expect})
	}
	switch {
	case err == nil:
		completed.result = claim.Written
	case errors.Is(err, kv.ErrConflict):
		completed.result = claim.Conflict
	case errors.Is(err, kv.ErrThrottled):
		completed.result = claim.Refused
	default:
		c.config.Log.WithError(err).Warn("cannot write claims")
	}
	c.send(completed)
}
