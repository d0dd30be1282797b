package limit

import (
	"io"

	"github.com/juju/errors"
)

// ErrFull is the error of writing to a Buffer that has reached its maximum size or finds no memory left in its budget.
const ErrFull = errors.ConstError("no memory for more bytes")

// initialBytes is the capacity in bytes with which a Buffer begins.
const initialBytes = 512

// Buffer collects bytes up to a maximum size and takes its memory beyond FreeBytes from a budget. Release must be called
// at the end.
type Buffer struct {
	budget  *Budget
	max     int
	content []byte
	taken   int // bytes taken from the budget
}

// NewBuffer returns an empty Buffer for at most maxBytes bytes.
func NewBuffer(budget *Budget, maxBytes int) *Buffer { return &Buffer{budget: budget, max: maxBytes} }

// Bytes returns the collected bytes, which are valid until the buffer changes.
func (b *Buffer) Bytes() []byte { return b.content }

// Write appends p, or returns ErrFull and appends nothing.
func (b *Buffer) Write(p []byte) (n int, err error) {
	if !b.grow(len(b.content) + len(p)) {
		return 0, ErrFull
	}
	b.content = append(b.content, p...)
	return len(p), nil
}

// Fill appends what the reader returns. It returns true at the end of the reader, and false without an error as soon as
// the buffer is full.
func (b *Buffer) Fill(r io.Reader) (ended bool, err error) {
	for {
		if len(b.content) == cap(b.content) && !b.grow(len(b.content)+1) {
			return false, nil
		}
		var n int
		n, err = r.Read(b.content[len(b.content):cap(b.content)])
		b.content = b.content[:len(b.content)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// Skip removes the first n bytes, and returns memory to the budget if none of it is needed for the rest.
func (b *Buffer) Skip(n int) {
	rest := b.content[n:]
	if b.taken == 0 || len(rest) > FreeBytes {
		b.content = append(b.content[:0], rest...)
		return
	}
	rest = append([]byte(nil), rest...)
	b.Release()
	b.content = rest
}

// Reset removes all bytes.
func (b *Buffer) Reset() { b.Skip(len(b.content)) }

// Release removes all bytes and returns the memory.
func (b *Buffer) Release() {
	b.budget.Return(b.taken)
	b.content, b.taken = nil, 0
}

// grow makes room for size bytes, and more if it can; it does not ask the budget for room within FreeBytes. It reports whether there is
// room.
func (b *Buffer) grow(size int) bool {
	if size <= cap(b.content) {
		return true
	}
	if size > b.max {
		return false
	}
	capacity := min(max(2*cap(b.content), size, initialBytes), b.max)
	if size <= FreeBytes {
		capacity = min(capacity, FreeBytes)
	}
	if needed := capacity - FreeBytes - b.taken; needed > 0 {
		if !b.budget.Take(needed) {
			return false
		}
		b.taken += needed
	}
	b.content = append(make([]byte, 0, capacity), b.content...)
	return true
}
