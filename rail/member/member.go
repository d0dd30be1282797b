package member

// Member is one running instance.
type Member struct {
	// Name identifies the instance over restarts.
	Name string `cbor:"1,keyasint" json:"name"`
	// Incarnation identifies one run of the instance and is never used again.
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	// Zone is the availability zone of the instance.
	Zone string `cbor:"3,keyasint" json:"zone"`
	// Address is the host and port at which the instance listens for its peers.
	Address string `cbor:"4,keyasint" json:"address"`
	// Fingerprint is the hash of the public key that the incarnation made at its start.
	Fingerprint string `cbor:"5,keyasint" json:"fingerprint"`
	// Generation is the generation of the tables that the instance has in force.
	Generation uint64 `cbor:"6,keyasint" json:"generation"`
	// Stopping tells that the instance takes no new requests.
	Stopping bool `cbor:"7,keyasint" json:"stopping"`
}
