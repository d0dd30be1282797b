package gossip

import (
	"cmp"
	"slices"
	"time"

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
