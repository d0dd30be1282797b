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
	// PromptBlocked returns the part because of which a request with the shared parts must not be sent to engines, and false if
	// there is none.
	PromptBlocked func(parts []string) (part string, ok bool)
	// PromptWaiting records that a request with the shared parts waits for the begin of an answer, until done is called. If the
	// request must no longer be at an engine because of one of the parts, withdraw is called, which must not wait.
	PromptWaiting func(parts []string, withdraw func(part string)) (done func())
	// PromptBegan records that an engine has begun the answer to a request with the shared parts.
	PromptBegan func(parts []string)
	// PromptAnswered records that an engine has answered a request with the shared parts, or that the answer has gone on for so long
	// that the engine will not crash because of them.
	PromptAnswered func(parts []string)
	// ConnectionEnded records that the connection to an engine has ended before a request with the shared parts was answered, and
	// whether the answer had begun; it returns whether the engine has crashed.
	ConnectionEnded func(ctx context.Context, server backend.Server, parts []string, began bool) (crashed bool)
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
