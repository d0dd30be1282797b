package claims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/kv"
)

// keyPrefix begins the keys of the records of claims.
const keyPrefix = "claim-"

// wanted asks for a claim.
type wanted struct {
	want  claim.Request
	reply chan<- claim.Decision
}

func (e wanted) apply(c *Claims, now time.Time) claim.Actions {
	handle, actions := c.book.Claim(now, e.want)
	c.verdicts[handle] = e.reply
	return actions
}

// starting asks whether a won claim may be dispatched.
type starting struct {
	handle uint64
	reply  chan<- bool
}

func (e starting) apply(c *Claims, now time.Time) claim.Actions {
	e.reply <- c.book.TryStart(now, e.handle)
	return claim.Actions{}
}

// finished tells what became of a request.
type finished struct {
	handle uint64
	state  claim.State
	answer []byte
}

func (e finished) apply(c *Claims, now time.Time) claim.Actions {
	return c.book.Finish(now, e.handle, e.state, e.answer)
}

// awaited asks for what is known about a claim of this instance once its request has ended.
type awaited struct {
	sequence uint64
	reply    chan<- claim.Status
}

func (e awaited) apply(c *Claims, _ time.Time) claim.Actions {
	c.waiters[e.sequence] = append(c.waiters[e.sequence], e.reply)
	return claim.Actions{}
}

// wasRead brings the value of a record.
type wasRead struct {
	number  int
	version uint64
	record  claim.Record
	err     error
}

func (e wasRead) apply(c *Claims, now time.Time) claim.Actions {
	c.called(e.err != nil)
	return c.book.HandleRead(now, e.number, e.version, e.record, e.err != nil)
}

// wasWritten brings the result of a write.
type wasWritten struct {
	number  int
	version uint64
	result  claim.WriteResult
}

func (e wasWritten) apply(c *Claims, now time.Time) claim.Actions {
	c.called(e.result == claim.InDoubt)
	return c.book.HandleWrite(now, e.number, e.version, e.result)
}

func recordKey(number int) string { return fmt.Sprintf("%s%d", keyPrefix, number) }

// read reads a record.
func (c *Claims) read(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done := wasRead{number: number}
	var found kv.Record
	if found, done.err = c.config.Store.Get(ctx, recordKey(number)); done.err == nil {
		done.version = found.Version
		done.record, done.err = claim.Decode(found.Value)
	} else if errors.Is(done.err, kv.ErrNotFound) {
		done.err = nil
	}
	if done.err != nil {
		c.config.Log.WithError(done.err).Warn("cannot read claims")
	}
	c.send(done)
}

// write writes a record.
func (c *Claims) write(ctx context.Context, write claim.Write) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done := wasWritten{number: write.Shard, result: claim.InDoubt}
	value, err := write.Record.Encode()
	if err == nil {
		done.version, err = c.config.Store.Put(ctx, recordKey(write.Shard), kv.Put{Value: value, Expect: write.Expect})
	}
	switch {
	case err == nil:
		done.result = claim.Written
	case errors.Is(err, kv.ErrConflict):
		done.result = claim.Conflict
	case errors.Is(err, kv.ErrThrottled):
		done.result = claim.Refused
	default:
		c.config.Log.WithError(err).Warn("cannot write claims")
	}
	c.send(done)
}
