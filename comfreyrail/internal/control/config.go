package control

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/install"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// ConfigEvent brings news about the configuration and asks for what is left to do about it.
type ConfigEvent struct {
	// At is the time of arrival.
	At time.Time
	// Event is the news.
	Event install.Event
	// Actions receives what is left to do; it must have room for it.
	Actions chan<- []install.Action
}

func (e ConfigEvent) apply(c *Control, next *Snapshot) {
	actions := c.installer.Handle(e.Event, e.At)
	for _, action := range actions {
		switch action := action.(type) {
		case install.Install:
			next.InForce = action.InForce
			c.putInForce(next, action.InForce.Tables)
		case install.SetReady:
			next.Obstacle = action.Reason
			if !action.Ready {
				c.log.WithField("reason", action.Reason).Warn("instance is not ready")
			}
		}
	}
	c.afterwards(func() { e.Actions <- actions })
}

// putInForce puts a generation of the tables in force that has been validated.
func (c *Control) putInForce(next *Snapshot, tables *table.Tables) {
	if c.checker.Check(tables.Generation > next.Tables.Generation, "generation never decreases",
		"generation %d would follow %d", tables.Generation, next.Tables.Generation) != nil {
		return
	}
	next.Tables = tables
	c.list(next)
	c.log.WithField("generation", tables.Generation).Info("tables are in force")
}
