package control

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/install"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// InstallerEvent passes an event to the installer of the tables and requests the actions that follow from it.
type InstallerEvent struct {
	// At is the time of arrival.
	At time.Time
	// Event is the event for the installer.
	Event install.Event
	// Actions receives the actions for the sender to perform; it must be buffered, since the send must not block.
	Actions chan<- []install.Action
}

func (e InstallerEvent) apply(c *Control, next *Snapshot) {
	actions := c.installer.Handle(e.Event, e.At)
	for _, action := range actions {
		switch action := action.(type) {
		case install.Install:
			next.InForce = action.InForce
			c.setTables(next, action.InForce.Tables)
		case install.SetReady:
			next.ConfigUnreadyReason = action.Reason
			if !action.Ready {
				c.log.WithField("reason", action.Reason).Warn("instance is not ready")
			}
		}
	}
	c.deferUntilPublished(func() { e.Actions <- actions })
}

// setTables puts validated tables in force; it reports a violated invariant and returns if their generation is not
// greater than the present one.
func (c *Control) setTables(next *Snapshot, tables *table.Tables) {
	if c.checker.Check(tables.Generation > next.Tables.Generation, "generation never decreases",
		"generation %d would follow %d", tables.Generation, next.Tables.Generation) != nil {
		return
	}
	next.Tables = tables
	c.updateServers(next)
	c.log.WithField("generation", tables.Generation).Info("tables are in force")
}
