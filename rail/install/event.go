package install

import "github.com/comfreyrail/comfreyrail/rail/table"

// Source is where content comes from: a peer, or the platform's service.
type Source struct {
	// Peer names the peer; empty for the platform's service.
	Peer string
}

// Event is something that the instance heard.
type Event interface{ event() }

// HeadRead tells that the platform's service answered with a head.
type HeadRead struct {
	// Manifest names the content of the generation.
	Manifest table.Manifest
}

// HeadAbsent tells that the platform's service answered that nothing was accepted yet.
type HeadAbsent struct{}

// HeadUnchanged tells that the platform's service answered that the head is the one read last.
type HeadUnchanged struct{}

// GenerationOffered tells that a peer named the generation that it has in force, zero for none.
type GenerationOffered struct {
	// Peer names the peer.
	Peer string
	// Generation is the generation in force at the peer.
	Generation uint64
	// Hash is the hash of the manifest of the generation.
	Hash table.Hash
}

// PeersPolled tells that the peers were asked for their heads, and that those who answered were offered before.
type PeersPolled struct{}

// Fetched tells the end of a Fetch.
type Fetched struct {
	// Generation is the generation that the content was fetched for.
	Generation uint64
	// From is the source.
	From Source
	// Contents holds what was fetched, also when the fetch failed later.
	Contents [][]byte
	// Failed tells that some of the content could not be fetched.
	Failed bool
}

// Tick tells that time passed.
type Tick struct{}

func (HeadRead) event()          {}
func (HeadAbsent) event()        {}
func (GenerationOffered) event() {}
func (HeadUnchanged) event()     {}
func (PeersPolled) event()       {}
func (Fetched) event()           {}
func (Tick) event()              {}

// Action is something that the instance shall do.
type Action interface{ action() }

// Fetch asks for content under its hashes, answered by one Fetched.
type Fetch struct {
	// Generation is the generation that needs the content.
	Generation uint64
	// From is the source.
	From Source
	// Hashes names the content.
	Hashes []table.Hash
}

// ReadHead asks for another read of the head from the platform's service.
type ReadHead struct{}

// Install puts a generation in force and tells peers about it.
type Install struct {
	// InForce is the generation.
	InForce *InForce
}

// SetReady changes whether the instance takes requests.
type SetReady struct {
	// Ready tells whether it does.
	Ready bool
	// Reason says why not.
	Reason string
}

func (Fetch) action()    {}
func (ReadHead) action() {}
func (Install) action()  {}
func (SetReady) action() {}

// InForce is a generation in force with its encoded content; nobody changes it.
type InForce struct {
	// Tables holds the rows.
	Tables *table.Tables
	// Manifest names the content.
	Manifest table.Manifest
	// Hash is the hash of the encoded manifest.
	Hash table.Hash
	// Contents holds the manifest and the chunks of this generation and the one before it, by hash.
	Contents map[table.Hash][]byte
}
