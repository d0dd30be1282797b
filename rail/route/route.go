package route

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Kind is how often a request of a route may run, and whether its answer is a stream.
type Kind uint8

const (
	// Idempotent marks requests that may run any number of times.
	Idempotent Kind = iota
	// AtMostOnce marks requests that run at most once.
	AtMostOnce
	// Stream marks requests whose answer is a stream of events.
	Stream
)

// String returns the name of the kind; it panics if the kind is not one of the constants.
func (k Kind) String() string { return [...]string{"idempotent", "once", "stream"}[k] }

// WeightedService is a service that gets a part of a route's requests.
type WeightedService struct {
	// Service is the name of the service.
	Service string
	// Weight is the service's part of the requests, relative to the sum of the route's weights; 0 or less means none.
	Weight int
}

// Route configures the requests to one host whose paths begin with one prefix.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the host of the requests, without a port; its case is ignored.
	Host string
	// Prefix is the beginning of the paths; it begins and ends with a slash.
	Prefix string
	// Kind determines how often a request may run, and whether its answer is a stream.
	Kind Kind
	// Timeout is the longest time that a caller waits; zero or less means that the route sets none.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the answer, or to the first event of a stream.
	LatencyTarget time.Duration
	// GapTarget is the target for the longest gap between two events of a stream.
	GapTarget time.Duration
	// AbandonTime is how long a caller waits for the next event of a stream, the first included, before it disconnects; zero means
	// that it is not known.
	AbandonTime time.Duration
	// Urgency is the urgency of the requests; 0 is the most urgent.
	Urgency int
	// MaxAttempts is the maximum number of attempts of one request, the first included.
	MaxAttempts int
	// Public reports whether requests need no key.
	Public bool
	// Resumable reports whether a stream may continue at another backend server after the last received event.
	Resumable bool
	// Services lists the services that the requests are sent to.
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
	// MaxConnections is the maximum number of connections that each of its servers accepts from all instances together;
	// zero means no limit.
	MaxConnections int
}

// Workspace is a group of callers with a common set of keys.
type Workspace struct {
	// Name identifies the workspace.
	Name string
	// Keys lists the keys of its callers.
	Keys []string
	// Urgency replaces that of the routes, 0 being the most urgent; nil leaves it unchanged.
	Urgency *int
}

// Limits configures the limits on the requests and connections of callers.
type Limits struct {
	// MaxHeaderBytes is the maximum size of the headers in bytes.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a body in bytes.
	MaxBodyBytes int64
	// HeaderTimeout is the longest time in which the headers must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time that a connection may stay idle.
	IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version increases with every change.
	Version uint64
	// Routes lists the routes.
	Routes []Route
	// Services lists the services.
	Services []Service
	// Workspaces lists the workspaces; an empty list means that no keys are needed.
	Workspaces []Workspace
	// Limits configures the limits on the requests and connections of callers.
	Limits Limits
}
