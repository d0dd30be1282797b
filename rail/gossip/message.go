package gossip

import (
	"github.com/comfreyrail/comfreyrail/rail/drain"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// State is the state of a member in the view of an instance.
type State uint8

const (
	// Alive is the state of a member that responds to heartbeats.
	Alive State = iota
	// Suspected is the state of a member that did not respond and can still refute the suspicion.
	Suspected
	// Dead is the state of a member that did not refute the suspicion in time.
	Dead
	// Left is the state of an incarnation that stopped as planned and does not return.
	Left
)

// String returns the state in one word: alive, suspect, dead or left.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspected:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "left"
	}
}

// Update is the state of one member as instances send it to each other.
type Update struct {
	// Member identifies the member and its incarnation.
	Member member.Member `cbor:"1,keyasint"`
	// Refutations grows each time that the member refutes a suspicion; the greater number is the newer.
	Refutations uint64 `cbor:"2,keyasint,omitempty" json:"Beat"`
	// State is the state of the member in the view of the sender.
	State State `cbor:"3,keyasint,omitempty"`
}

// newer reports whether u supersedes other, which is about the same member.
//
// The greater epoch is newer, and within an epoch Left is final. Otherwise more refutations are newer, then the greater
// State.
func (u Update) newer(other Update) bool {
	if u.Member.Epoch != other.Member.Epoch {
		return u.Member.Epoch > other.Member.Epoch
	}
	if u.State == Left || other.State == Left {
		return other.State != Left
	}
	if u.Refutations != other.Refutations {
		return u.Refutations > other.Refutations
	}
	return u.State > other.State
}

// Offer identifies the generation of the tables that an instance has in force, and its content; its peers may fetch it.
type Offer struct {
	// Generation is the number of the generation.
	Generation uint64 `cbor:"1,keyasint"`
	// Hash is the hash of the generation's manifest, in hexadecimal.
	Hash string `cbor:"2,keyasint"`
}

// Message is a heartbeat or the response to one.
type Message struct {
	// From is the name of the sender.
	From string `cbor:"1,keyasint"`
	// Epoch is the epoch of the sender's incarnation.
	Epoch uint64 `cbor:"2,keyasint"`
	// Offer identifies the generation of the tables that the sender has in force.
	Offer Offer `cbor:"3,keyasint"`
	// MembersHash is the hash of the names and epochs of the members that are alive or suspected in the sender's view.
	MembersHash uint64 `cbor:"4,keyasint"`
	// Updates lists the update of the sender and updates of other members.
	Updates []Update `cbor:"5,keyasint,omitempty"`
	// MarksHash is the hash of all marks that the sender has for its peers, zero for none.
	MarksHash uint64 `cbor:"8,keyasint,omitempty"`
	// Marks lists the sender's marks of leaving backend servers; the sender omits them if the last MarksHash from the
	// receiver equals its own.
	Marks []drain.Mark `cbor:"7,keyasint,omitempty"`
	// FullSync requests a response with the updates of all members that the receiver has.
	FullSync bool `cbor:"6,keyasint,omitempty"`
}

// Heartbeat is a message to send and its receiver.
type Heartbeat struct {
	// To is the member that receives the heartbeat.
	To member.Member
	// Message is the content of the heartbeat.
	Message Message
}
