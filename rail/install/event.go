package install

import "github.com/comfreyrail/comfreyrail/rail/table"

// Source is where content is fetched from: a peer, or the platform's store if it is the zero value.
type Source struct {
	// Peer is the name of the peer; empty for the store.
	Peer string
}

// Event is an input of an Installer.
type Event interface{ event() }

// HeadRead is the event that a head was read from the store.
type HeadRead struct {
	// Manifest lists the content of the newest generation.
	Manifest table.Manifest
}

// HeadAbsent is the event that the store responded but has no head, because no edit was accepted yet.
type HeadAbsent struct{}

// HeadUnchanged is the event that the store responded that the head is the one read last.
type HeadUnchanged struct{}

// GenerationOffered is the event that a peer sent the number of the generation that it has in force.
type GenerationOffered struct {
	// Peer is the name of the peer.
	Peer string
	// Generation is the generation in force at the peer, zero for none.
	Generation uint64
	// Hash is the hash of the manifest of the generation.
	Hash table.Hash
}

// PeersQueried is the event that the query of peers at the start has ended; the responses, if any, have been passed as
// GenerationOffered events before.
type PeersQueried struct{}

// Fetched is the event that a Fetch ended.
type Fetched struct {
	// Generation is the generation that the content was fetched for.
	Generation uint64
	// From is the source that was used.
	From Source
	// Contents holds the content that was fetched, including that fetched before a failure.
	Contents [][]byte
	// Failed reports whether some of the content could not be fetched.
	Failed bool
}

// Tick is the event of the regular timer, at which timeouts are checked.
type Tick struct{}

func (HeadRead) event()          {}
func (HeadAbsent) event()        {}
func (GenerationOffered) event() {}
func (HeadUnchanged) event()     {}
func (PeersQueried) event()      {}
func (Fetched) event()           {}
func (Tick) event()              {}

// Action is an output of an Installer that the caller carries out.
type Action interface{ action() }

// Fetch is the action that fetches content by its hashes; it must be followed by one Fetched.
type Fetch struct {
	// Generation is the generation that needs the content.
	Generation uint64
	// From is the source to use.
	From Source
	// Hashes lists the hashes of the content.
	Hashes []table.Hash
}

// ReadHead is the action that reads the head from the store again.
type ReadHead struct{}

// Install is the action that puts a generation in force and announces it to peers.
type Install struct {
	// InForce is the generation with its content.
	InForce *InForce
}

// SetReady is the action that changes the readiness of the instance.
type SetReady struct {
	// Ready reports whether the instance takes requests.
	Ready bool
	// Reason explains why the instance is not ready; empty if it is.
	Reason string
}

func (Fetch) action()    {}
func (ReadHead) action() {}
func (Install) action()  {}
func (SetReady) action() {}

// InForce is a generation in force with its encoded content. It is immutable.
type InForce struct {
	// Tables holds the decoded rows.
	Tables *table.Tables
	// Manifest lists the content of the generation.
	Manifest table.Manifest
	// Hash is the hash of the encoded manifest.
	Hash table.Hash
	// Contents holds, by hash, the manifests and chunks of this generation and the one before it, for peers to fetch.
	Contents map[table.Hash][]byte
}
