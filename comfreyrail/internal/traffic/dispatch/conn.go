package dispatch

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// errRepeat is the error of a write that would repeat a request, or that belongs to a request that has ended.
var errRepeat = errors.New("request was written before or has ended")

// dispatch is the state of one Send in progress.
type dispatch struct {
	mu    sync.Mutex
	state outcome.Dispatch
	// deniedWrites is the number of writes that were denied.
	deniedWrites int
}

// conn is a connection that writes only with the permission of the dispatch that uses it.
type conn struct {
	net.Conn
	// id is unique among the connections of one Dispatcher.
	id uint64
	// owner is the dispatch that uses the connection or used it last, nil before the first.
	owner atomic.Pointer[dispatch]
}

// Write writes to the connection if that can't repeat the request; otherwise it returns errRepeat and writes nothing.
func (c *conn) Write(p []byte) (n int, err error) {
	owner := c.owner.Load()
	if owner == nil {
		return 0, errRepeat
	}
	first, ok := owner.tryWrite(c.id)
	if !ok {
		return 0, errRepeat
	}
	n, err = c.Conn.Write(p)
	if first && n == 0 {
		owner.undoWrite()
	}
	return n, err
}

// tryWrite reports whether the dispatch may write on the connection with the id, and whether this is its first write.
func (d *dispatch) tryWrite(connID uint64) (first, ok bool) {
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
func (d *dispatch) undoWrite() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.UndoWrite()
}

// update applies a change to the state while holding the lock.
func (d *dispatch) update(apply func(*outcome.Dispatch)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	apply(&d.state)
}

// end ends the dispatch and returns its outcome. Later writes are denied.
func (d *dispatch) end() outcome.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.End()
}
