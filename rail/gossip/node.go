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
	DefaultInterval         = time.Second     // DefaultInterval is the time between heartbeats to one partner.
	DefaultSuspicionTimeout = 4 * time.Second // DefaultSuspicionTimeout is the time that a suspected member has to refute.
	DefaultForgetAfter      = time.Hour       // DefaultForgetAfter is the time after which a dead or departed member is removed.
	DefaultZoneRings        = 2               // DefaultZoneRings is the number of rings over the own availability zone.
	DefaultFleetRings       = 2               // DefaultFleetRings is the number of rings over the whole fleet.
	maxFailures             = 3               // maxFailures is the number of consecutive failed heartbeats before suspicion.
	maxUpdates              = 8               // maxUpdates is the greatest number of pending updates in a message.
	neverResend             = 1 << 20         // neverResend is a view.timesSent above every limit, so that the update is not sent.
	sendsPerDoubling        = 3               // sendsPerDoubling is the number of sends of an update for each doubling of the fleet.
	deadRetryTicks          = 3               // deadRetryTicks is the number of ticks between heartbeats to a dead member.
	fullSyncAfter           = 8               // fullSyncAfter is the number of consecutive different digests before a full sync.
)

// Config configures a Node; a zero time or number selects the default.
type Config struct {
	// Self is the record of the own instance.
	Self member.Member
	// Checker counts violated invariants; nil selects a new Checker.
	Checker *invariant.Checker
	// Interval is the time between heartbeats to one partner.
	Interval time.Duration
	// SuspicionTimeout is the time in which a suspected member can refute.
	SuspicionTimeout time.Duration
	// ForgetAfter is the time after which the record of a member that is dead or has left is removed.
	ForgetAfter time.Duration
	// ZoneRings is the number of rings over the members of the own availability zone; each ring gives one partner.
	ZoneRings int
	// FleetRings is the number of rings over the whole fleet; each ring gives one partner.
	FleetRings int
}

// Node is one instance's view of the fleet; it is not safe for concurrent use.
type Node struct {
	config        Config
	self          Update
	offer         Offer
	views         map[string]*view
	partners      []string
	partnersStale bool
	revision      uint64
	ticks         uint64
	// lastDeadTried is the name of the dead member that last got a heartbeat.
	lastDeadTried string
	lastTick      time.Time

	superseded bool
}

// view is the node's record of one other member.
type view struct {
	update Update
	// stateSince is the start of the current state; a pause of the own process restarts it for a suspected member.
	stateSince time.Time
	// inFlight reports whether a heartbeat to the member has no result yet.
	inFlight bool
	// failures is the number of consecutive failed heartbeats.
	failures int
	// timesSent is the number of times that pendingUpdates has returned the current update.
	timesSent int
	// digestMismatches is the number of consecutive exchanges in which the member's digest differed.
	digestMismatches int
}

// New returns a Node whose only member is the own instance.
func New(config Config) *Node {
	config.Interval = cmp.Or(config.Interval, DefaultInterval)
	config.SuspicionTimeout = cmp.Or(config.SuspicionTimeout, DefaultSuspicionTimeout)
	config.ForgetAfter = cmp.Or(config.ForgetAfter, DefaultForgetAfter)
	config.ZoneRings = cmp.Or(config.ZoneRings, DefaultZoneRings)
	config.FleetRings = cmp.Or(config.FleetRings, DefaultFleetRings)
	if config.Checker == nil {
		config.Checker = new(invariant.Checker)
	}
	return &Node{config: config, self: Update{Member: config.Self}, views: make(map[string]*view), revision: 1}
}

// SetOffer sets the generation of the tables that is in force at the own instance.
func (n *Node) SetOffer(offer Offer) { n.offer = offer }

// SetSelf replaces the record of the own instance after a new registration.
func (n *Node) SetSelf(self member.Member) {
	n.self.Member = self
	n.viewsChanged()
}

// Self returns the record of the own instance.
func (n *Node) Self() member.Member { return n.self.Member }

// AddListed adds members that the platform's service lists.
//
// New ones are not passed on as updates, because the other instances read the same list.
func (n *Node) AddListed(now time.Time, members []member.Member) {
	for _, listed := range members {
		n.applyUpdate(now, Update{Member: listed})
		if known := n.views[listed.Name]; known != nil && known.timesSent == 0 {
			known.timesSent = neverResend
		}
	}
}

// AddJoined adds a member that has just joined and passes it on to the other members.
func (n *Node) AddJoined(now time.Time, joined member.Member) {
	n.applyUpdate(now, Update{Member: joined})
}

// Members returns the own instance and all members that are alive or suspected, in the order of their names.
func (n *Node) Members() []member.Member {
	members := []member.Member{n.self.Member}
	for _, known := range n.views {
		if known.update.State <= Suspected {
			members = append(members, known.update.Member)
		}
	}
	slices.SortFunc(members, func(a, b member.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// All returns the records of all members, the own instance included, in the order of their names.
func (n *Node) All() []Update {
	updates := make([]Update, 0, len(n.views)+1)
	updates = append(updates, n.self)
	for _, known := range n.views {
		updates = append(updates, known.update)
	}
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	return updates
}

// Revision returns a number that grows with every change of a member's record.
func (n *Node) Revision() uint64 { return n.revision }

// Superseded reports whether a later incarnation of the own instance is known.
func (n *Node) Superseded() bool { return n.superseded }

// Find returns the record of a member and reports whether there is one.
func (n *Node) Find(name string) (found Update, ok bool) {
	if name == n.self.Member.Name {
		return n.self, true
	}
	known, ok := n.views[name]
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

// choosePartners returns the successors of the own instance on the rings of its availability zone and of the fleet.
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

// resetAfterPause clears the failures of the members and restarts their suspicion timeouts if the own process was
// paused, that is if the last tick is more than maxFailures intervals ago.
func (n *Node) resetAfterPause(now time.Time) {
	paused := !n.lastTick.IsZero() && now.Sub(n.lastTick) > maxFailures*n.config.Interval
	n.lastTick = now
	if !paused {
		return
	}
	for _, known := range n.views {
		known.failures = 0
		if known.update.State == Suspected {
			known.stateSince = now
		}
	}
}

// expire marks suspected members that did not refute in time as dead, and removes old records of members that are dead
// or have left.
func (n *Node) expire(now time.Time) {
	for name, known := range n.views {
		age := now.Sub(known.stateSince)
		switch {
		case known.update.State == Suspected && age >= n.config.SuspicionTimeout:
			update := known.update
			update.State = Dead
			n.applyUpdate(now, update)
		case known.update.State >= Dead && age >= n.config.ForgetAfter:
			delete(n.views, name)
			n.viewsChanged()
		}
	}
}

// nextDead returns the name of one dead member in round-robin order; heartbeats to it detect that a partition has healed.
func (n *Node) nextDead() []string {
	var dead []string
	for name, known := range n.views {
		if known.update.State == Dead {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.Sort(dead)
	next, found := slices.BinarySearch(dead, n.lastDeadTried)
	if found {
		next++
	}
	n.lastDeadTried = dead[next%len(dead)]
	return []string{n.lastDeadTried}
}

// heartbeats returns a heartbeat for each named member that has none in flight.
func (n *Node) heartbeats(names []string) []Heartbeat {
	heartbeats := make([]Heartbeat, 0, len(names))
	for _, name := range names {
		known := n.views[name]
		if known == nil || known.inFlight {
			continue
		}
		known.inFlight = true
		message := n.newMessage()
		message.FullSync = known.digestMismatches >= fullSyncAfter
		message.Updates = append(message.Updates, notAliveUpdate(known)...)
		heartbeats = append(heartbeats, Heartbeat{To: known.update.Member, Message: message})
	}
	return heartbeats
}

// notAliveUpdate returns the member's update if its state is not Alive, so that the member can refute it.
func notAliveUpdate(known *view) []Update {
	if known.update.State == Alive {
		return nil
	}
	return []Update{known.update}
}

// newMessage returns a message with the own record and the pending updates.
func (n *Node) newMessage() Message {
	return Message{
		From: n.self.Member.Name, Epoch: n.self.Member.Epoch,
		Offer: n.offer, Digest: n.digest(), Updates: append([]Update{n.self}, n.pendingUpdates()...),
	}
}

// pendingUpdates returns up to maxUpdates updates that have not reached the limit of sends, those sent least often
// first, and counts them as sent.
func (n *Node) pendingUpdates() []Update {
	limit := sendsPerDoubling * bitLength(len(n.views)+1)
	var pending []*view
	for _, known := range n.views {
		if known.timesSent < limit {
			pending = append(pending, known)
		}
	}
	slices.SortFunc(pending, func(a, b *view) int {
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

// Receive applies a heartbeat from another member and returns the reply.
func (n *Node) Receive(now time.Time, message Message) Message {
	n.applyMessage(now, message)
	reply := n.newMessage()
	if message.FullSync {
		reply.Updates = n.All()
	} else if known := n.views[message.From]; known != nil {
		reply.Updates = append(reply.Updates, notAliveUpdate(known)...)
	}
	return reply
}

// HeartbeatAnswered applies the reply of a member to a heartbeat; a reply from another name is ignored.
func (n *Node) HeartbeatAnswered(now time.Time, name string, reply Message) {
	if known := n.views[name]; known != nil {
		known.inFlight = false
	}
	if reply.From != name {
		return
	}
	n.applyMessage(now, reply)
}

// applyMessage applies the updates of a message and compares its sender's digest with the own one.
func (n *Node) applyMessage(now time.Time, message Message) {
	for _, update := range message.Updates {
		n.applyUpdate(now, update)
	}
	known := n.views[message.From]
	if known == nil || known.update.Member.Epoch != message.Epoch {
		return
	}
	known.failures = 0
	if message.Digest == n.digest() {
		known.digestMismatches = 0
	} else {
		known.digestMismatches++
	}
}

// HeartbeatFailed records that a heartbeat to the incarnation of a member had no reply.
func (n *Node) HeartbeatFailed(now time.Time, name string, epoch uint64) {
	known := n.views[name]
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

// Announce returns heartbeats to all partners, for urgent changes between ticks.
func (n *Node) Announce() []Heartbeat { return n.heartbeats(n.Partners()) }

// Leave sets the own state to Left and returns heartbeats that inform the partners.
func (n *Node) Leave() []Heartbeat {
	n.self.State = Left
	for _, name := range n.Partners() {
		if known := n.views[name]; known != nil {
			known.inFlight = false
		}
	}
	return n.heartbeats(n.Partners())
}

// applyUpdate stores an update if it is newer than the member's record.
func (n *Node) applyUpdate(now time.Time, update Update) {
	if update.Member.Name == n.self.Member.Name {
		n.refute(update)
		return
	}
	known := n.views[update.Member.Name]
	if known == nil {
		known = &view{update: update, stateSince: now}
		n.views[update.Member.Name] = known
		n.viewsChanged()
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
	n.viewsChanged()
}

// viewsChanged advances the revision and marks the partners, which depend on the views, as out of date.
func (n *Node) viewsChanged() {
	n.partnersStale = true
	n.revision++
}

// refute raises the own number of refutations above that of an update by which the own incarnation is not alive.
//
// An update with a later epoch shows that another incarnation has superseded this one.
func (n *Node) refute(update Update) {
	n.superseded = n.superseded || update.Member.Epoch > n.self.Member.Epoch
	if update.Member.Epoch != n.self.Member.Epoch || update.State == Alive || n.self.State == Left {
		return
	}
	if update.Refutations >= n.self.Refutations {
		n.self.Refutations = update.Refutations + 1
	}
}

// digest returns a hash of the members that are alive or suspected; it does not depend on their order.
func (n *Node) digest() uint64 {
	sum := memberHash(n.self)
	for _, known := range n.views {
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
