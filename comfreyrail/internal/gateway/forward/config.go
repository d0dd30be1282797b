package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/notices"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/runclock"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/limit"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/poison"
)

// Config holds the settings and dependencies of a Forwarder.
type Config struct {
	// Catalog provides the configuration and the list of backend servers.
	Catalog *catalog.Catalog
	// Upstream sends requests to backend servers.
	Upstream *upstream.Client
	// Zone is the availability zone of this instance.
	Zone string
	// MaxConfigAge is the maximum age of the configuration at which API keys are accepted. The age is the time since the
	// store last confirmed it.
	MaxConfigAge time.Duration
	// MaxApplyDelay is the age of the configuration after which an unknown route or key is refused with status 503
	// instead of 404 or 401, since a newer configuration may be in force elsewhere. Known routes and keys are not
	// affected by it, in contrast to MaxConfigAge.
	MaxApplyDelay time.Duration
	// Retries holds the retry budgets of the services.
	Retries *Budgets
	// PeerUsage returns a function that estimates the other instances' usage of an engine, or of a link between
	// availability zones, by ID. It returns false if they have not reported lately.
	PeerUsage func(now time.Time) func(id string) (use pipeline.Usage, known bool)
	// ReadRequest parses the headers of a caller's request.
	ReadRequest func(header http.Header) call.Request
	// WriteBackendRequest sets the headers of a request to a backend server.
	WriteBackendRequest func(header http.Header, forward call.BackendRequest)
	// ReadResponse parses the status and headers of a backend server's response.
	ReadResponse func(status int, header http.Header) call.Response
	// FetchState requests the state of an engine.
	FetchState func(ctx context.Context, server backend.Server) (state backend.State, err error)
	// Reroute instructs the first engine of a request to continue it along another chain.
	Reroute func(ctx context.Context, first backend.Server, request string, stages []call.Stage) error
	// RequestBlocked returns why a request must not be sent to servers, and false if it may be. Requests to plain servers have no parts.
	RequestBlocked func(request poison.Request) (cause poison.Cause, ok bool)
	// RequestWaiting records that a request waits for the begin of an answer, until done is called. If the request must no longer be
	// at a server, withdraw is called, which must not wait.
	RequestWaiting func(request poison.Request, withdraw func(cause poison.Cause)) (done func())
	// PromptBegan records that an engine has begun the answer to a request.
	PromptBegan func(request poison.Request)
	// RequestAnswered records that a server has answered a request, or that the answer has gone on for so long that the server will
	// not crash because of it.
	RequestAnswered func(request poison.Request)
	// ConnectionEnded records that the connection to a server has ended before a request was answered, and whether the answer had
	// begun; it returns whether the server has crashed.
	ConnectionEnded func(ctx context.Context, server backend.Server, request poison.Request, began bool) (crashed bool)
	// Clock measures for how long others are silent; nil means an ordinary clock.
	Clock *runclock.Clock
	// Notices knows which backend servers are leaving or want no requests for a while; nil means a new one.
	Notices *notices.Keeper
	// RequestMemory bounds the memory of large request bodies; nil means no bound.
	RequestMemory *limit.Budget
	// ResponseMemory bounds the memory of large responses and events; nil means no bound.
	ResponseMemory *limit.Budget
	// Log is the logger of the Forwarder.
	Log *logrus.Entry
	// Metrics is the registry of the request counters and time histograms.
	Metrics metrics.Registry
}
