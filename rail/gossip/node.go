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

// Times and numbers that apply where Config sets none.
const (
	DefaultInterval         = time.Second     // DefaultInterval is the time between heartbeats to one partner.
	DefaultSuspicionTimeout = 4 * time.Second // DefaultSuspicionTimeout is the time that a suspect has to refute.
	DefaultForgetAfter      = time.Hour       // DefaultForgetAfter is the time after which a dead member is forgotten.
	DefaultZoneRings        = 2               // DefaultZoneRings is the number of rings in the own availability zone.
	DefaultFleetRings       = 2               // DefaultFleetRings is the number of rings over the whole fleet.
	maxFailures             = 3               // maxFailures is the number of failed heartbeats in a row that make a suspect.
	maxUpdates              = 8               // maxUpdates is the number of updates in an ordinary heartbeat.
	told                    = 1 << 20         // told is more often than any update is sent.
	repeatsPerDoubled       = 3               // repeatsPerDoubled is how often an update is sent for each doubling of the fleet.
	reviveTicks             = 3               // reviveTicks is the number of ticks between heartbeats to a dead member.
	patience                = 8               // patience is the number of exchanges with different digests before all is asked for.
)

// Config configures a Node; zero times and numbers take the defaults.
type Config struct {
	// Self is the own instance.
	Self member.Member
	// Checker counts violated invariants; nil means a Checker of its own.
	Checker *invariant.Checker
	// Interval is the time between heartbeats to one partner.
	Interval time.Duration
	// SuspicionTimeout is the time that a suspect has to refute.
	SuspicionTimeout time.Duration
	// ForgetAfter is the time after which a dead member is forgotten.
	ForgetAfter time.Duration
	// ZoneRings is the number of rings in the own availability zone, each with one partner.
	ZoneRings int
	// FleetRings is the number of rings over the whole fleet, each with one partner.
	FleetRings int
}

// Node is one instance's view of the fleet; it is not safe for concurrent use.
type Node struct {
	config   Config
	self     Update
	head     Offer
	views    map[string]*view
	partners []string
	stale    bool
	revision uint64
	ticks    uint64
	tried    string
	lastTick time.Time

	superseded bool
}

// view is what the node knows about one other member.
type view struct {
	update   Update
	since    time.Time
	pending  bool
	failures int
	sent     int
	differs  int
}

// New returns a Node that knows only itself.
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

// SetOffer sets the generation of the tables that is in force here.
func (n *Node) SetOffer(head Offer) { n.head = head }

// SetSelf replaces the own record after a new registration.
func (n *Node) SetSelf(self member.Member) {
	n.self.Member = self
	n.changed()
}

// Self returns the own record.
func (n *Node) Self() member.Member { return n.self.Member }

// AddListed takes in members that the platform's service lists; the others read the same list, so that they are no news.
func (n *Node) AddListed(now time.Time, members []member.Member) {
	for _, listed := range members {
		n.apply(now, Update{Member: listed})
		if known := n.views[listed.Name]; known != nil && known.sent == 0 {
			known.sent = told
		}
	}
}

// AddJoined takes in a member that has just joined, which the others hear as news.
func (n *Node) AddJoined(now time.Time, joined member.Member) {
	n.apply(now, Update{Member: joined})
}

// Members returns the own instance and all members that are alive or suspect, by name.
func (n *Node) Members() []member.Member {
	members := []member.Member{n.self.Member}
	for _, known := range n.views {
		if known.update.State <= Suspect {
			members = append(members, known.update.Member)
		}
	}
	slices.SortFunc(members, func(a, b member.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// All returns everything that is known about the members, by name.
func (n *Node) All() []Update {
	updates := make([]Update, 0, len(n.views)+1)
	updates = append(updates, n.self)
	for _, known := range n.views {
		updates = append(updates, known.update)
	}
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	return updates
}

// Revision grows with every change of what is known about the members.
func (n *Node) Revision() uint64 { return n.revision }

// Superseded reports whether a later incarnation of the own instance is known.
func (n *Node) Superseded() bool { return n.superseded }

// Find returns the record of a member that is not forgotten, and what is believed about it.
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
	if n.stale {
		n.stale = false
		n.partners = n.choosePartners()
	}
	return n.partners
}

// choosePartners returns the successors on the rings of the own availability zone and of the whole fleet.
//
// Every member thus has a predecessor on each ring that notices when it fails.
func (n *Node) choosePartners() []string {
	all := n.Members()
	var near []member.Member
	for _, other := range all {
		if other.Zone == n.self.Member.Zone {
			near = append(near, other)
		}
	}
	var partners []string
	for ring := range n.config.ZoneRings + n.config.FleetRings {
		among := near
		if ring >= n.config.ZoneRings {
			among = all
		}
		if name, found := member.Successor(n.self.Member.Name, ring, among); found {
			partners = append(partners, name)
		}
	}
	slices.Sort(partners)
	return slices.Compact(partners)
}

// Tick returns the heartbeats that are due; it must be called once every Interval.
func (n *Node) Tick(now time.Time) []Heartbeat {
	n.ticks++
	n.forgive(now)
	n.expire(now)
	due := n.Partners()
	if n.ticks%reviveTicks == 0 {
		due = append(slices.Clone(due), n.nextDead()...)
	}
	return n.beats(due)
}

// forgive clears the failures of others after this process itself was paused.
func (n *Node) forgive(now time.Time) {
	paused := !n.lastTick.IsZero() && now.Sub(n.lastTick) > maxFailures*n.config.Interval
	n.lastTick = now
	if !paused {
		return
	}
	for _, known := range n.views {
		known.failures = 0
		if known.update.State == Suspect {
			known.since = now
		}
	}
}

// expire turns suspects that did not refute into dead members and forgets old ones.
func (n *Node) expire(now time.Time) {
	for name, known := range n.views {
		age := now.Sub(known.since)
		switch {
		case known.update.State == Suspect && age >= n.config.SuspicionTimeout:
			update := known.update
			update.State = Dead
			n.apply(now, update)
		case known.update.State >= Dead && age >= n.config.ForgetAfter:
			delete(n.views, name)
			n.changed()
		}
	}
}

// nextDead returns one dead member to try, each in turn, so that a healed partition is noticed.
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
	next, found := slices.BinarySearch(dead, n.tried)
	if found {
		next++
	}
	n.tried = dead[next%len(dead)]
	return []string{n.tried}
}

// beats returns a heartbeat for each name that has none on its way.
func (n *Node) beats(names []string) []Heartbeat {
	beats := make([]Heartbeat, 0, len(names))
	for _, name := range names {
		known := n.views[name]
		if known == nil || known.pending {
			continue
		}
		known.pending = true
		message := n.message()
		message.FullSync = known.differs >= patience
		message.Updates = append(message.Updates, about(known)...)
		beats = append(beats, Heartbeat{To: known.update.Member, Message: message})
	}
	return beats
}

// about returns what a member must hear about itself if it is not believed alive.
func about(known *view) []Update {
	if known.update.State == Alive {
		return nil
	}
	return []Update{known.update}
}

// message returns a heartbeat with the news that was sent least often.
func (n *Node) message() Message {
	return Message{
		From: n.self.Member.Name, Epoch: n.self.Member.Epoch,
		Offer: n.head, Digest: n.digest(), Updates: append([]Update{n.self}, n.news()...),
	}
}

// news returns the updates that were sent least often and not yet often enough.
func (n *Node) news() []Update {
	limit := repeatsPerDoubled * bitLength(len(n.views)+1)
	var fresh []*view
	for _, known := range n.views {
		if known.sent < limit {
			fresh = append(fresh, known)
		}
	}
	slices.SortFunc(fresh, func(a, b *view) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.update.Member.Name, b.update.Member.Name))
	})
	updates := make([]Update, 0, maxUpdates)
	for _, known := range fresh[:min(maxUpdates, len(fresh))] {
		known.sent++
		updates = append(updates, known.update)
	}
	return updates
}

func bitLength(n int) int {
	length := 0
	for ; n > 0; n >>= 1 {
		length++
	}
	return length
}

// Receive takes a heartbeat and returns the reply.
func (n *Node) Receive(now time.Time, message Message) Message {
	n.take(now, message)
	reply := n.message()
	if message.FullSync {
		reply.Updates = n.All()
	} else if known := n.views[message.From]; known != nil {
		reply.Updates = append(reply.Updates, about(known)...)
	}
	return reply
}

// HeartbeatAnswered takes the reply of a member to a heartbeat.
func (n *Node) HeartbeatAnswered(now time.Time, name string, reply Message) {
	if known := n.views[name]; known != nil {
		known.pending = false
	}
	if reply.From != name {
		return
	}
	n.take(now, reply)
}

// take applies a message and compares its sender's view with the own one.
func (n *Node) take(now time.Time, message Message) {
	for _, update := range message.Updates {
		n.apply(now, update)
	}
	known := n.views[message.From]
	if known == nil || known.update.Member.Epoch != message.Epoch {
		return
	}
	known.failures = 0
	if message.Digest == n.digest() {
		known.differs = 0
	} else {
		known.differs++
	}
}

// HeartbeatFailed takes the failure of a heartbeat to the incarnation of a member.
func (n *Node) HeartbeatFailed(now time.Time, name string, epoch uint64) {
	known := n.views[name]
	if known == nil {
		return
	}
	known.pending = false
	if known.update.Member.Epoch != epoch || known.update.State != Alive {
		return
	}
	known.failures++
	if known.failures < maxFailures {
		return
	}
	update := known.update
	update.State = Suspect
	n.apply(now, update)
}

// Announce returns heartbeats to all partners at once, for news that must not wait.
func (n *Node) Announce() []Heartbeat { return n.beats(n.Partners()) }

// Leave returns heartbeats that tell the partners that this incarnation stops.
func (n *Node) Leave() []Heartbeat {
	n.self.State = Left
	for _, name := range n.Partners() {
		if known := n.views[name]; known != nil {
			known.pending = false
		}
	}
	return n.beats(n.Partners())
}

// apply takes one update if it is newer than what is known.
func (n *Node) apply(now time.Time, update Update) {
	if update.Member.Name == n.self.Member.Name {
		n.refute(update)
		return
	}
	known := n.views[update.Member.Name]
	if known == nil {
		known = &view{update: update, since: now}
		n.views[update.Member.Name] = known
		n.changed()
		return
	}
	if !update.newer(known.update) {
		return
	}
	err := n.config.Checker.Check(
		update.Member.Epoch >= known.update.Member.Epoch, "epoch",
		"member %q would go back from epoch %d to %d", update.Member.Name, known.update.Member.Epoch, update.Member.Epoch)
	if err != nil {
		return
	}
	if update.Member.Epoch != known.update.Member.Epoch {
		known.failures, known.pending = 0, false
	}
	if update.State == Alive {
		known.failures = 0
	}
	if update.State != known.update.State {
		known.since = now
	}
	known.update, known.sent = update, 0
	n.changed()
}

// changed marks what is derived from the views as out of date.
func (n *Node) changed() {
	n.stale = true
	n.revision++
}

// refute answers a false belief about the own incarnation with a greater beat.
func (n *Node) refute(update Update) {
	n.superseded = n.superseded || update.Member.Epoch > n.self.Member.Epoch
	if update.Member.Epoch != n.self.Member.Epoch || update.State == Alive || n.self.State == Left {
		return
	}
	if update.Refutations >= n.self.Refutations {
		n.self.Refutations = update.Refutations + 1
	}
}

// digest returns a hash of the view that does not depend on its order.
func (n *Node) digest() uint64 {
	sum := digestOf(n.self)
	for _, known := range n.views {
		if known.update.State <= Suspect {
			sum ^= digestOf(known.update)
		}
	}
	return sum
}

// digestOf hashes the name and the incarnation of one member.
func digestOf(update Update) uint64 {
	var epoch [8]byte
	binary.LittleEndian.PutUint64(epoch[:], update.Member.Epoch)
	digest := xxhash.New()
	_, _ = digest.WriteString(update.Member.Name)
	_, _ = digest.Write(epoch[:])
	return digest.Sum64()
}
