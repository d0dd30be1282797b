package pipeline

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Bounds of what is learnt of the memory that requests use.
const (
	// learnFrom and learnTo bound the part of an engine's memory that is promised where its report is learnt from.
	learnFrom, learnTo = 0.3, 1.2
	// useMemory is the number of reports over which the use is taken.
	useMemory = 8
	// useMargin is how many times the reported use counts, as reports are some hundred milliseconds old.
	useMargin = 1.15
	// leastUse and mostUse bound the part of the promised memory that counts as used.
	leastUse, mostUse = 0.7, 1.3
)

// learnUse takes the part of the memory promised at an engine that requests use: answers grow from nothing to the promised
// length, and many stay shorter.
func (c *Chooser) learnUse(now time.Time, server backend.Server, used float64) {
	card, ok := c.engine.Card(server.Card)
	if !ok || used <= 0 {
		return
	}
	room := c.engine.KVCapacity(card, server.Layers.Len()) * float64(server.Layers.Len())
	promised := c.taken(now, server.ID, c.load(server.ID)).ReservedKV
	if promised < learnFrom*room || promised > learnTo*room {
		return
	}
	c.use += (used*useMargin/promised - c.use) / useMemory
	c.use = min(max(c.use, leastUse), mostUse)
}
