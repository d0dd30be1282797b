package gossip

import (
	"github.com/comfreyrail/comfreyrail/rail/drain"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// State is what is believed about a member.
type State uint8

const (
	// Alive means that the member answers.
	Alive State = iota
	// Suspect means that the member failed to answer and may yet refute that it is dead.
	Suspect
	// Dead means that the member did not refute the suspicion in time.
	Dead
	// Left means that the incarnation stopped as planned and does not return.
	Left
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "left"
	}
}

// Update is news about one member.
type Update struct {
	// Member is the member.
	Member member.Member `cbor:"1,keyasint"`
	// Refutations grows each time the member refutes a suspicion.
	Refutations uint64 `cbor:"2,keyasint,omitempty" json:"Beat"`
	// State is what is believed about the member.
	State State `cbor:"3,keyasint,omitempty"`
}

// newer reports whether the update supersedes the other one about the same member.
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

// Offer names a generation of the tables and its content.
type Offer struct {
	// Generation is the generation.
	Generation uint64 `cbor:"1,keyasint"`
	// Hash is the hash of the content.
	Hash string `cbor:"2,keyasint"`
}

// Message is one heartbeat or its reply.
type Message struct {
	// From is the name of the sender.
	From string `cbor:"1,keyasint"`
	// Epoch is the epoch of the sender's incarnation.
	Epoch uint64 `cbor:"2,keyasint"`
	// Offer is the generation of the tables that the sender has in force.
	Offer Offer `cbor:"3,keyasint"`
	// Digest is the hash of the sender's view of the members.
	Digest uint64 `cbor:"4,keyasint"`
	// Updates is news about members.
	Updates []Update `cbor:"5,keyasint,omitempty"`
	// MarksHash is the hash of all marks that the sender would pass on, zero for none.
	MarksHash uint64 `cbor:"8,keyasint,omitempty"`
	// Marks are signs that backend servers are leaving; a sender leaves them out if the receiver has shown the same hash.
	Marks []drain.Mark `cbor:"7,keyasint,omitempty"`
	// FullSync asks for all that the receiver knows about the members.
	FullSync bool `cbor:"6,keyasint,omitempty"`
}

// Heartbeat is a heartbeat to send.
type Heartbeat struct {
	// To is the member that receives the heartbeat.
	To member.Member
	// Message is the heartbeat.
	Message Message
}
