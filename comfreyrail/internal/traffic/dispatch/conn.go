package dispatch

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// errRepeat is the error of a write that would repeat a request.
var errRepeat = errors.New("request was written before or has ended")

// call is one dispatch in progress.
type call struct {
	mu      sync.Mutex
	state   outcome.Dispatch
	repeats int
}

// conn is a connection that asks the dispatch which holds it before each write.
type conn struct {
	net.Conn
	number uint64
	holder atomic.Pointer[call]
}

// Write writes to the connection if that cannot repeat the request.
func (c *conn) Write(p []byte) (n int, err error) {
	holder := c.holder.Load()
	if holder == nil {
		return 0, errRepeat
	}
	first, ok := holder.begin(c.number)
	if !ok {
		return 0, errRepeat
	}
	n, err = c.Conn.Write(p)
	if first && n == 0 {
		holder.takeBack()
	}
	return n, err
}

// begin asks for leave to write; first is true for the first write of the dispatch.
func (c *call) begin(number uint64) (first, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = !c.state.Wrote()
	ok = c.state.TryWrite(number)
	if !ok {
		c.repeats++
	}
	return first, ok
}

func (c *call) takeBack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.UndoWrite()
}

// note applies what was learnt from an answer.
func (c *call) note(apply func(*outcome.Dispatch)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	apply(&c.state)
}

// end returns the outcome; no byte is written afterwards.
func (c *call) end() outcome.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.End()
}
