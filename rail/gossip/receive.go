package gossip

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Receive applies a heartbeat from another member and returns the response.
func (n *Node) Receive(now time.Time, message Message) Message {
	n.applyMessage(now, message)
	response := n.newMessage()
	if message.FullSync {
		response.Updates = n.All()
	} else if known := n.members[message.From]; known != nil {
		response.Updates = append(response.Updates, notAliveUpdate(known)...)
	}
	return response
}

// HeartbeatSucceeded applies the response of a member to a heartbeat; a response whose sender has another name is ignored.
func (n *Node) HeartbeatSucceeded(now time.Time, name string, response Message) {
	if known := n.members[name]; known != nil {
		known.inFlight = false
	}
	if response.From != name {
		return
	}
	n.applyMessage(now, response)
}

// applyMessage applies the updates of a message and compares its sender's hash of the members with the one of this node.
func (n *Node) applyMessage(now time.Time, message Message) {
	for _, update := range message.Updates {
		n.applyUpdate(now, update)
	}
	known := n.members[message.From]
	if known == nil || known.update.Member.Epoch != message.Epoch {
		return
	}
	known.failures = 0
	if message.MembersHash == n.membersHash() {
		known.hashMismatches = 0
	} else {
		known.hashMismatches++
	}
}

// HeartbeatFailed records that a heartbeat to the incarnation of a member had no response.
func (n *Node) HeartbeatFailed(now time.Time, name string, epoch uint64) {
	known := n.members[name]
	if known == nil {
		return
	}
	known.inFlight = false
	if known.update.Member.Epoch != epoch || known.update.State != Alive {
		return
	}
	known.failures++
	if known.failures < maxFailures {
		return
	}
	update := known.update
	update.State = Suspected
	n.applyUpdate(now, update)
}

// applyUpdate stores an update if it is newer than the one known of the member.
func (n *Node) applyUpdate(now time.Time, update Update) {
	if update.Member.Name == n.self.Member.Name {
		n.applySelfUpdate(update)
		return
	}
	known := n.members[update.Member.Name]
	if known == nil {
		known = &trackedMember{update: update, stateSince: now}
		n.members[update.Member.Name] = known
		n.membersChanged()
		return
	}
	if !update.newer(known.update) {
		return
	}
	err := n.config.Checker.Check(
		update.Member.Epoch >= known.update.Member.Epoch, "epoch",
		"member %q: epoch would decrease from %d to %d", update.Member.Name, known.update.Member.Epoch, update.Member.Epoch)
	if err != nil {
		return
	}
	if update.Member.Epoch != known.update.Member.Epoch {
		known.failures, known.inFlight = 0, false
	}
	if update.State == Alive {
		known.failures = 0
	}
	if update.State != known.update.State {
		known.stateSince = now
	}
	known.update, known.timesSent = update, 0
	n.membersChanged()
}

// membersChanged advances the revision and marks the partners, which depend on the members, as out of date.
func (n *Node) membersChanged() {
	n.partnersStale = true
	n.revision++
}

// applySelfUpdate processes an update about this instance. If this incarnation is suspected, dead or has left in the update, it
// raises the refutations of this instance above those of the update, unless this instance has left.
//
// An update with a later epoch shows that another incarnation has superseded this one.
func (n *Node) applySelfUpdate(update Update) {
	n.superseded = n.superseded || update.Member.Epoch > n.self.Member.Epoch
	if update.Member.Epoch != n.self.Member.Epoch || update.State == Alive || n.self.State == Left {
		return
	}
	if update.Refutations >= n.self.Refutations {
		n.self.Refutations = update.Refutations + 1
	}
}

// membersHash returns a hash of the members that are alive or suspected; it does not depend on their order.
func (n *Node) membersHash() uint64 {
	sum := memberHash(n.self)
	for _, known := range n.members {
		if known.update.State <= Suspected {
			sum ^= memberHash(known.update)
		}
	}
	return sum
}

// memberHash returns a hash of the name and the epoch of a member.
func memberHash(update Update) uint64 {
	var epoch [8]byte
	binary.LittleEndian.PutUint64(epoch[:], update.Member.Epoch)
	digest := xxhash.New()
	_, _ = digest.WriteString(update.Member.Name)
	_, _ = digest.Write(epoch[:])
	return digest.Sum64()
}
