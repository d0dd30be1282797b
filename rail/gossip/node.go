package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// Defaults of Config, and fixed limits of the protocol.
const (
	// DefaultInterval is the time between heartbeats to one partner.
	DefaultInterval = time.Second
	// DefaultSuspicionTimeout is the time that a suspected member has to refute.
	DefaultSuspicionTimeout = 4 * time.Second
	// DefaultRemoveAfter is the time after which a member that is dead or has left is removed.
	DefaultRemoveAfter = time.Hour
	// DefaultZoneRings is the number of rings over the availability zone of the instance.
	DefaultZoneRings = 2
	// DefaultFleetRings is the number of rings over the whole fleet.
	DefaultFleetRings = 2
	// maxFailures is the number of consecutive failed heartbeats after which a member is suspected, and the number of
	// intervals without a Tick above which the process counts as paused.
	maxFailures = 3
	// maxUpdates is the maximum number of pending updates in a message.
	maxUpdates = 8
	// neverResend is a value of timesSent above every limit, with which an update is no longer sent.
	neverResend = 1 << 20
	// sendsPerDoubling is the number of sends of an update for each bit of the number of members, so that the sends grow with the
	// logarithm of the size of the fleet.
	sendsPerDoubling = 3
	// deadRetryTicks is the number of ticks between heartbeats to a dead member.
	deadRetryTicks = 3
	// fullSyncAfter is the number of consecutive exchanges with a differing hash of the members after which a full sync is
	// requested.
	fullSyncAfter = 8
)

// Config configures a Node; a zero time or number selects the default.
type Config struct {
	// Self is the record of this instance.
	Self member.Member
	// Checker counts violated invariants; nil selects a new Checker.
	Checker *invariant.Checker
	// Interval is the time between heartbeats to one partner.
	Interval time.Duration
	// SuspicionTimeout is the time in which a suspected member can refute.
	SuspicionTimeout time.Duration
	// RemoveAfter is the time after which a member that is dead or has left is removed.
	RemoveAfter time.Duration
	// ZoneRings is the number of rings over the members of the instance's availability zone; each gives one partner.
	ZoneRings int
	// FleetRings is the number of rings over the whole fleet; each ring gives one partner.
	FleetRings int
}

// Node is one instance's view of the fleet; it is not safe for concurrent use.
type Node struct {
	config        Config
	self          Update
	offer         Offer
	members       map[string]*trackedMember
	partners      []string
	partnersStale bool
	revision      uint64
	ticks         uint64
	// lastDeadContacted is the name of the dead member that last got a heartbeat.
	lastDeadContacted string
	lastTick          time.Time

	superseded bool
}

// trackedMember is the node's state of one other member.
type trackedMember struct {
	update Update
	// stateSince is the start of the current state; a pause of this process restarts it for a suspected member.
	stateSince time.Time
	// inFlight reports whether a heartbeat to the member has no result yet.
	inFlight bool
	// failures is the number of consecutive failed heartbeats.
	failures int
	// timesSent is the number of times that pendingUpdates has returned the current update, or neverResend if it is not to
	// be sent.
	timesSent int
	// hashMismatches is the number of consecutive exchanges in which the member's hash of the members differed.
	hashMismatches int
}

// New returns a Node whose only member is this instance.
func New(config Config) *Node {
	config.Interval = cmp.Or(config.Interval, DefaultInterval)
	config.SuspicionTimeout = cmp.Or(config.SuspicionTimeout, DefaultSuspicionTimeout)
	config.RemoveAfter = cmp.Or(config.RemoveAfter, DefaultRemoveAfter)
	config.ZoneRings = cmp.Or(config.ZoneRings, DefaultZoneRings)
	config.FleetRings = cmp.Or(config.FleetRings, DefaultFleetRings)
	if config.Checker == nil {
		config.Checker = new(invariant.Checker)
	}
	return &Node{config: config, self: Update{Member: config.Self}, members: make(map[string]*trackedMember), revision: 1}
}

// SetOffer sets the generation of the tables that is in force at this instance.
func (n *Node) SetOffer(offer Offer) { n.offer = offer }

// SetSelf replaces the record of this instance after a new registration.
func (n *Node) SetSelf(self member.Member) {
	n.self.Member = self
	n.membersChanged()
}

// Self returns the record of this instance.
func (n *Node) Self() member.Member { return n.self.Member }

// AddListed adds the members whose records were read from the platform's store.
//
// Those whose update has not been sent yet are not passed on as updates, because the other instances read the same
// records.
func (n *Node) AddListed(now time.Time, members []member.Member) {
	for _, listed := range members {
		n.applyUpdate(now, Update{Member: listed})
		if known := n.members[listed.Name]; known != nil && known.timesSent == 0 {
			known.timesSent = neverResend
		}
	}
}

// AddJoined adds a member that has just joined and passes it on to the other members.
func (n *Node) AddJoined(now time.Time, joined member.Member) {
	n.applyUpdate(now, Update{Member: joined})
}

// Members returns this instance and all members that are alive or suspected, in the order of their names.
func (n *Node) Members() []member.Member {
	members := []member.Member{n.self.Member}
	for _, known := range n.members {
		if known.update.State <= Suspected {
			members = append(members, known.update.Member)
		}
	}
	slices.SortFunc(members, func(a, b member.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// All returns the latest updates of all members, this instance included, in the order of their names.
func (n *Node) All() []Update {
	updates := make([]Update, 0, len(n.members)+1)
	updates = append(updates, n.self)
	for _, known := range n.members {
		updates = append(updates, known.update)
	}
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	return updates
}

// Revision returns a number that grows with every change of another member's update and with every SetSelf.
func (n *Node) Revision() uint64 { return n.revision }

// Superseded reports whether a later incarnation of this instance is known.
func (n *Node) Superseded() bool { return n.superseded }

// Find returns the latest update of a member and reports whether there is one.
func (n *Node) Find(name string) (found Update, ok bool) {
	if name == n.self.Member.Name {
		return n.self, true
	}
	known, ok := n.members[name]
	if !ok {
		return Update{}, false
	}
	return known.update, true
}

// Partners returns the names of the members to which the node sends heartbeats.
func (n *Node) Partners() []string {
	if n.partnersStale {
		n.partnersStale = false
		n.partners = n.choosePartners()
	}
	return n.partners
}

// choosePartners returns the successors of this instance on the rings of its availability zone and of the fleet.
//
// Every member thus has a predecessor on each ring, which detects its failure.
func (n *Node) choosePartners() []string {
	all := n.Members()
	var zoneMembers []member.Member
	for _, other := range all {
		if other.Zone == n.self.Member.Zone {
			zoneMembers = append(zoneMembers, other)
		}
	}
	var partners []string
	for ring := range n.config.ZoneRings + n.config.FleetRings {
		candidates := zoneMembers
		if ring >= n.config.ZoneRings {
			candidates = all
		}
		if name, found := member.Successor(n.self.Member.Name, ring, candidates); found {
			partners = append(partners, name)
		}
	}
	slices.Sort(partners)
	return slices.Compact(partners)
}

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
