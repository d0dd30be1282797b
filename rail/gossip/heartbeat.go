package gossip

import (
	"cmp"
	"slices"
	"time"
)

// Tick updates the states of the members and returns the heartbeats that are due; it must be called once every Interval.
func (n *Node) Tick(now time.Time) []Heartbeat {
	n.ticks++
	n.resetAfterPause(now)
	n.expire(now)
	due := n.Partners()
	if n.ticks%deadRetryTicks == 0 {
		due = append(slices.Clone(due), n.nextDead()...)
	}
	return n.heartbeats(due)
}

// resetAfterPause clears the failures of the members and restarts their suspicion timeouts if this process was paused,
// that is if the last tick is more than maxFailures intervals ago.
func (n *Node) resetAfterPause(now time.Time) {
	paused := !n.lastTick.IsZero() && now.Sub(n.lastTick) > maxFailures*n.config.Interval
	n.lastTick = now
	if !paused {
		return
	}
	for _, known := range n.members {
		known.failures = 0
		if known.update.State == Suspected {
			known.stateSince = now
		}
	}
}

// expire marks suspected members that did not refute in time as dead, and removes members that have been dead or have left
// for RemoveAfter.
func (n *Node) expire(now time.Time) {
	for name, known := range n.members {
		age := now.Sub(known.stateSince)
		switch {
		case known.update.State == Suspected && age >= n.config.SuspicionTimeout:
			update := known.update
			update.State = Dead
			n.applyUpdate(now, update)
		case known.update.State >= Dead && age >= n.config.RemoveAfter:
			delete(n.members, name)
			n.membersChanged()
		}
	}
}

// nextDead returns the name of one dead member in round-robin order; heartbeats to it detect that a partition has healed.
func (n *Node) nextDead() []string {
	var dead []string
	for name, known := range n.members {
		if known.update.State == Dead {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.Sort(dead)
	next, found := slices.BinarySearch(dead, n.lastDeadContacted)
	if found {
		next++
	}
	n.lastDeadContacted = dead[next%len(dead)]
	return []string{n.lastDeadContacted}
}

// heartbeats returns a heartbeat for each named member that has none in flight.
func (n *Node) heartbeats(names []string) []Heartbeat {
	heartbeats := make([]Heartbeat, 0, len(names))
	for _, name := range names {
		known := n.members[name]
		if known == nil || known.inFlight {
			continue
		}
		known.inFlight = true
		message := n.newMessage()
		message.FullSync = known.hashMismatches >= fullSyncAfter
		message.Updates = append(message.Updates, notAliveUpdate(known)...)
		heartbeats = append(heartbeats, Heartbeat{To: known.update.Member, Message: message})
	}
	return heartbeats
}

// notAliveUpdate returns the member's update if its state is not Alive, so that the member can refute it.
func notAliveUpdate(known *trackedMember) []Update {
	if known.update.State == Alive {
		return nil
	}
	return []Update{known.update}
}

// newMessage returns a message with the update of this instance and the pending updates.
func (n *Node) newMessage() Message {
	return Message{
		From: n.self.Member.Name, Epoch: n.self.Member.Epoch,
		Offer: n.offer, MembersHash: n.membersHash(), Updates: append([]Update{n.self}, n.pendingUpdates()...),
	}
}

// pendingUpdates returns up to maxUpdates updates that have not reached the limit of sends, those sent least often
// first, and counts them as sent.
func (n *Node) pendingUpdates() []Update {
	limit := sendsPerDoubling * bitLength(len(n.members)+1)
	var pending []*trackedMember
	for _, known := range n.members {
		if known.timesSent < limit {
			pending = append(pending, known)
		}
	}
	slices.SortFunc(pending, func(a, b *trackedMember) int {
		return cmp.Or(cmp.Compare(a.timesSent, b.timesSent), cmp.Compare(a.update.Member.Name, b.update.Member.Name))
	})
	updates := make([]Update, 0, maxUpdates)
	for _, known := range pending[:min(maxUpdates, len(pending))] {
		known.timesSent++
		updates = append(updates, known.update)
	}
	return updates
}

// bitLength returns the number of bits of n, which grows by one with each doubling of n.
func bitLength(n int) int {
	length := 0
	for ; n > 0; n >>= 1 {
		length++
	}
	return length
}

// Announce returns heartbeats to all partners that have none in flight, to spread a change before the next Tick.
func (n *Node) Announce() []Heartbeat { return n.heartbeats(n.Partners()) }

// Leave sets the state of this instance to Left and returns heartbeats to all partners, including those with a heartbeat in
// flight.
func (n *Node) Leave() []Heartbeat {
	n.self.State = Left
	for _, name := range n.Partners() {
		if known := n.members[name]; known != nil {
			known.inFlight = false
		}
	}
	return n.heartbeats(n.Partners())
}
