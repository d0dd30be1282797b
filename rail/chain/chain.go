package chain

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Server describes the state of one backend server at the time of a choice.
type Server struct {
	// Name identifies the backend server.
	Name string
	// Address is the host and port of the backend server.
	Address string
	// Zone is the availability zone of the backend server.
	Zone string
	// Status is the last status that the backend server reported.
	Status engine.Status
	// ReportedAt is the time at which Status arrived.
	ReportedAt time.Time
	// InFlight is the number of requests of this instance in progress at the backend server.
	InFlight int
	// Usable reports whether the backend server takes new requests.
	Usable bool
}

// Chain is the chain that is chosen for one attempt of a request.
type Chain struct {
	// Version is the model version that every stage runs.
	Version string
	// Stages are the stages in order; together they cover every layer once.
	Stages []engine.Stage
}

// Covers reports whether the stages cover the layers from 0 to layers-1 exactly once, in order.
func (c Chain) Covers(layers int) bool {
	next := 0
	for _, stage := range c.Stages {
		if stage.First != next || stage.Last <= stage.First {
			return false
		}
		next = stage.Last
	}
	return next == layers
}

// Uses reports whether the backend server is a stage of the chain.
func (c Chain) Uses(server string) bool {
	for _, stage := range c.Stages {
		if stage.Server == server {
			return true
		}
	}
	return false
}
