package limit

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// A budget must never give out more than it has, and have everything again once all is returned.
func TestBudgetHoldsUnderConcurrency(t *testing.T) {
	const total, part = 1000, 7
	budget := NewBudget(total)
	var wait sync.WaitGroup
	for range 50 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range 200 {
				if budget.Take(part) {
					if got := budget.Taken(); got > total+50*part {
						t.Errorf("got %d bytes taken, want at most %d and those of refused takers", got, total)
					}
					budget.Return(part)
				}
			}
		}()
	}
	wait.Wait()
	if got := budget.Taken(); got != 0 {
		t.Errorf("got %d bytes taken at the end, want 0", got)
	}
}

// Guards against a response without end growing the heap: a buffer stops at its maximum and at the end of the budget.
func TestBufferStops(t *testing.T) {
	tests := []struct {
		name        string
		budget, max int
		want        int // bytes held
	}{
		{"maximum size", 1 << 20, 10000, 10000},
		{"budget", 4 << 10, 1 << 20, 2 * FreeBytes},
		{"no budget left", 0, 1 << 20, FreeBytes},
	}
	for _, test := range tests {
		budget := NewBudget(int64(test.budget))
		b := NewBuffer(budget, test.max)
		ended, err := b.Fill(endless{})
		if ended || err != nil || len(b.Bytes()) != test.want {
			t.Errorf("%s: got %d bytes, ended %v, %v, want %d", test.name, len(b.Bytes()), ended, err, test.want)
		}
		if _, err = b.Write(make([]byte, test.max)); !errors.Is(err, ErrFull) {
			t.Errorf("%s: got %v from Write, want %v", test.name, err, ErrFull)
		}
		b.Release()
		if got := budget.Taken(); got != 0 {
			t.Errorf("%s: got %d bytes taken after Release, want 0", test.name, got)
		}
	}
}

// endless is a reader without end.
type endless struct{}

func (endless) Read(b []byte) (n int, err error) { return len(b), nil }

// Guards against a small response or event that fails because others have taken all memory: a buffer that grows in steps.
func TestBufferWithinFreeBytesNeedsNoBudget(t *testing.T) {
	for _, first := range []int{1, initialBytes, FreeBytes / 2, FreeBytes/2 + 1, FreeBytes - 1} {
		b := NewBuffer(NewBudget(0), 1<<20)
		for _, size := range []int{first, FreeBytes - first} {
			if _, err := b.Write(make([]byte, size)); err != nil {
				t.Errorf("%d bytes first: got %v, want %d bytes without the budget", first, err, FreeBytes)
			}
		}
	}
}

// Whatever fits must come out as it went in, in pieces of any size, and a reader's error must not look like its end.
func TestBufferKeepsContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SliceOfN(rapid.Byte(), 0, 3*FreeBytes).Draw(t, "content")
		failed := rapid.Bool().Draw(t, "failed")
		reader := io.Reader(bytes.NewReader(content))
		if failed {
			reader = io.MultiReader(reader, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		b := NewBuffer(NewBudget(1<<20), 1<<20)
		ended, err := b.Fill(iotest.OneByteReader(reader))
		if ended == failed || (err != nil) != failed || !bytes.Equal(b.Bytes(), content) {
			t.Fatalf("got %d of %d bytes, ended %v, %v, want all, and the end unless it failed (%v)", len(b.Bytes()), len(content), ended, err, failed)
		}
		skipped := rapid.IntRange(0, len(content)).Draw(t, "skipped")
		b.Skip(skipped)
		if !bytes.Equal(b.Bytes(), content[skipped:]) {
			t.Fatalf("got other bytes after %d were skipped", skipped)
		}
	})
}
