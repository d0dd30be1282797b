package member

// Member is the record of one instance in the shared list of members.
type Member struct {
	// Name identifies the instance and stays the same across restarts.
	Name string `cbor:"1,keyasint" json:"name"`
	// Incarnation identifies one run of the instance and is never reused.
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	// Epoch is the ID of the lease under which the incarnation first registered; it serves as a fencing token. Later
	// incarnations have greater ones.
	Epoch uint64 `cbor:"8,keyasint" json:"epoch"`
	// Zone is the availability zone of the instance.
	Zone string `cbor:"3,keyasint" json:"zone"`
	// Address is the host and port at which the instance accepts connections from its peers.
	Address string `cbor:"4,keyasint" json:"address"`
	// Fingerprint is the hash of the public key that the incarnation generated at its start.
	Fingerprint string `cbor:"5,keyasint" json:"fingerprint"`
	// Generation is the generation of the tables that the instance last reported as in force.
	Generation uint64 `cbor:"6,keyasint,omitempty" json:"generation"`
}
