package route

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Kind tells how often a request of a route may run.
type Kind uint8

const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota
	// AtMostOnce marks requests that run at most once.
	AtMostOnce
	// Stream marks requests whose answer is a stream of events.
	Stream
)

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"idempotent", "once", "stream"}[k] }

// WeightedService is a part of a route's requests that goes to one service.
type WeightedService struct {
	// Service names the service.
	Service string
	// Weight is the part of the requests, relative to the sum of the route's weights.
	Weight int
}

// Route says what happens to the requests of one host under one path.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the host that callers ask for.
	Host string
	// Prefix is the beginning of the path; it begins and ends with a slash.
	Prefix string
	// Kind tells how often a request may run.
	Kind Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the wanted time to the answer, or to the first event of a stream.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between two events of a stream that is still on time.
	GapTarget time.Duration
	// Priority is the rank of the requests, 0 first.
	Priority int
	// MaxAttempts is the greatest number of backend servers that one request may be sent to.
	MaxAttempts int
	// Public tells that no key is needed.
	Public bool
	// Resumable tells that a stream may go on at another backend server after the last event that was received.
	Resumable bool
	// Services lists the services that the requests go to.
	Services []WeightedService
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	// Name identifies the service.
	Name string
	// Engine describes the model engines of the service; nil means plain servers.
	Engine *backend.EngineSpec
	// MaxConnections is the greatest number of connections that each of its servers takes from all callers, zero for no bound.
	MaxConnections int
}

// Workspace is a group of callers that share keys.
type Workspace struct {
	// Name identifies the workspace.
	Name string
	// Keys lists the keys of its callers.
	Keys []string
	// Priority replaces the priority of the routes; nil leaves it.
	Priority *int
}

// Limits bounds what callers may send.
type Limits struct {
	// MaxHeaderBytes is the greatest size of the headers in bytes.
	MaxHeaderBytes int
	// MaxBodyBytes is the greatest size of a body in bytes.
	MaxBodyBytes int64
	// HeaderTimeout is the longest time that the headers may take.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time that a connection may stay idle.
	IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version grows with every change.
	Version uint64
	// Routes lists the routes.
	Routes []Route
	// Services lists the services.
	Services []Service
	// Workspaces lists the workspaces; an empty list means that no keys are needed.
	Workspaces []Workspace
	// Limits bounds what callers may send.
	Limits Limits
}
