package member

// Member is one running instance.
type Member struct {
	// Name identifies the instance over restarts.
	Name string `cbor:"1,keyasint" json:"name"`
	// Incarnation identifies one run of the instance and is never used again.
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	// Epoch is the fencing number of the lease under which the incarnation registered; later incarnations have greater ones.
	Epoch uint64 `cbor:"8,keyasint" json:"epoch"`
	// Zone is the availability zone of the instance.
	Zone string `cbor:"3,keyasint" json:"zone"`
	// Address is the host and port at which the instance listens for its peers.
	Address string `cbor:"4,keyasint" json:"address"`
	// Fingerprint is the hash of the public key that the incarnation made at its start.
	Fingerprint string `cbor:"5,keyasint" json:"fingerprint"`
	// Generation is the generation of the tables that the instance had in force when it was last asked.
	Generation uint64 `cbor:"6,keyasint,omitempty" json:"generation"`
}
