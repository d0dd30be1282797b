package dispatch

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// errWriteDenied is the error of a write that would repeat a request, or that belongs to no request or to one that has
// ended.
var errWriteDenied = errors.New("request was written before or has ended")

// lockedDispatch is the outcome.Dispatch of one Send in progress, with a lock because the transport writes in its own
// goroutines.
type lockedDispatch struct {
	mu    sync.Mutex
	state outcome.Dispatch
	// deniedWrites is the number of writes that would have repeated the request or came after its end.
	deniedWrites int
}

// conn is a connection that denies the writes that tryWrite of its owner doesn't allow.
type conn struct {
	net.Conn
	// id is unique among the connections of one Dispatcher.
	id uint64
	// owner is the dispatch that uses the connection or used it last, nil before the first.
	owner atomic.Pointer[lockedDispatch]
}

// Write writes to the connection if that can't repeat the request; otherwise it returns errWriteDenied and writes
// nothing.
func (c *conn) Write(p []byte) (n int, err error) {
	owner := c.owner.Load()
	if owner == nil {
		return 0, errWriteDenied
	}
	first, ok := owner.tryWrite(c.id)
	if !ok {
		return 0, errWriteDenied
	}
	n, err = c.Conn.Write(p)
	if first && n == 0 {
		owner.undoWrite()
	}
	return n, err
}

// tryWrite reports whether the dispatch may write on the connection with the ID, and whether this is its first write.
func (d *lockedDispatch) tryWrite(connID uint64) (first, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first = !d.state.Wrote()
	ok = d.state.TryWrite(connID)
	if !ok {
		d.deniedWrites++
	}
	return first, ok
}

// undoWrite reverts the first write, of which the connection accepted no byte.
func (d *lockedDispatch) undoWrite() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.UndoWrite()
}

// update applies a change to the state while holding the lock.
func (d *lockedDispatch) update(apply func(*outcome.Dispatch)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	apply(&d.state)
}

// end ends the dispatch and returns its outcome. Later writes are denied.
func (d *lockedDispatch) end() outcome.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.End()
}
