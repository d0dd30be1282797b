package chain

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Server is what the router knows about one backend server when it chooses.
type Server struct {
	// Name identifies the backend server.
	Name string
	// Address is the host and port of the backend server.
	Address string
	// Zone is the availability zone of the backend server.
	Zone string
	// Status is the last report of the backend server.
	Status engine.Status
	// ReportedAt is the time at which Status arrived.
	ReportedAt time.Time
	// InFlight is the number of requests that this instance has at the backend server.
	InFlight int
	// Usable tells that the backend server takes new work.
	Usable bool
}

// Plan is the chain for one attempt of a request.
type Plan struct {
	// Version is the version of the model on every stage.
	Version string
	// Hops are the stages in order; together they cover every layer once.
	Hops []engine.Hop
}

// Covers reports whether the hops cover the layers from 0 to layers exactly once, in order.
func (p Plan) Covers(layers int) bool {
	next := 0
	for _, hop := range p.Hops {
		if hop.First != next || hop.Last <= hop.First {
			return false
		}
		next = hop.Last
	}
	return next == layers
}

// Uses reports whether the plan has the backend server as a stage.
func (p Plan) Uses(server string) bool {
	for _, hop := range p.Hops {
		if hop.Server == server {
			return true
		}
	}
	return false
}
