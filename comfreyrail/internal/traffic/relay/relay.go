package relay

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/claims"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/dispatch"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Request is one plain request.
type Request struct {
	// ID identifies the request.
	ID string
	// Workspace is the workspace of the caller.
	Workspace string
	// Route is the route that the request matched.
	Route table.Route
	// Method is the HTTP method.
	Method string
	// Path is the path with its query.
	Path string
	// Header holds the headers to pass on.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Response is the answer of a plain service.
type Response = dispatch.Response

// Config configures a Relay.
type Config struct {
	// Control publishes the state.
	Control *control.Control
	// Dispatcher sends requests to the services.
	Dispatcher *dispatch.Dispatcher
	// Claims runs requests that bear an idempotency key; nil relays them like any other.
	Claims *claims.Claims
	// Forward passes a request to another instance; nil means that no other instance can be reached.
	Forward func(ctx context.Context, to member.Member, forwarded ForwardedRequest) (Reply, error)
	// PickServer returns the address of a backend server for one call; nil means the least reported load.
	PickServer func(pool string, tried map[string]bool) (address string, done func(succeeded bool), ok bool)
	// TakeRetry takes one retry on the pool from a budget for requests that may have run and are idempotent; nil allows none.
	TakeRetry func(pool string) bool
}

// Relay passes plain requests on.
type Relay struct {
	control    *control.Control
	dispatcher *dispatch.Dispatcher
	claims     *claims.Claims
	forward    func(ctx context.Context, to member.Member, forwarded ForwardedRequest) (Reply, error)
	pick       func(pool string, tried map[string]bool) (address string, done func(succeeded bool), ok bool)
	retry      func(pool string) bool
}

// New returns a Relay.
func New(config Config) *Relay {
	return &Relay{
		control: config.Control, dispatcher: config.Dispatcher, claims: config.Claims, forward: config.Forward, pick: config.PickServer, retry: config.TakeRetry,
	}
}

// maxDispatches is the greatest number of backend servers that one request is sent to.
const maxDispatches = 3

// Run passes the request on; the error holds an outcome.Failure.
//
// A request that bears an idempotency key and may not be repeated runs under the claim of the key.
func (r *Relay) Run(ctx context.Context, request Request) (answer Response, err error) {
	key := request.Header.Get(KeyHeader)
	if key == "" || request.Route.Idempotent || r.claims == nil {
		return r.dispatch(ctx, request)
	}
	return r.runKeyed(ctx, key, request)
}

// dispatch sends the request to backend servers of its pool.
//
// Another backend server is tried only while the request provably has not run, or if it is idempotent.
func (r *Relay) dispatch(ctx context.Context, request Request) (answer Response, err error) {
	attempts := outcome.RetryPolicy{Idempotent: request.Route.Idempotent, Limit: maxDispatches, TakeRetry: r.budget(request.Route.Pool)}
	tried := make(map[string]bool)
	ran := false
	for {
		address, done, chooseErr := r.choose(request.Route.Pool, tried)
		if chooseErr != nil {
			return Response{}, firstFailure(err, chooseErr)
		}
		tried[address] = true
		answer, err = r.dispatcher.Send(ctx, dispatch.Request{
			Address: address, Method: request.Method, Path: request.Path, Header: request.Header, Body: request.Body,
		})
		done(err == nil || errors.Is(ctx.Err(), context.Canceled))
		if err == nil {
			return answer, nil
		}
		failure := outcome.FromError(err)
		ran = ran || failure.Outcome != outcome.NotRun
		if ran {
			// An idempotent request that may have run stays unknown whatever the later dispatches tell.
			failure.Outcome = outcome.Unknown
		}
		if ctx.Err() != nil || !attempts.AllowRetry(failure.Outcome) {
			return Response{}, failure
		}
		err = failure
	}
}

// budget returns the function that takes one retry on the pool from the budget, nil if there is none.
func (r *Relay) budget(pool string) func() bool {
	if r.retry == nil {
		return nil
	}
	return func() bool { return r.retry(pool) }
}

// firstFailure returns the failure of the last dispatch, or why none was possible.
func firstFailure(dispatched, chosen error) error {
	if dispatched != nil {
		return dispatched
	}
	return chosen
}

// choose returns the address of a backend server of the pool that has not been tried.
func (r *Relay) choose(name string, tried map[string]bool) (address string, done func(succeeded bool), err error) {
	defer errors.DeferredAnnotatef(&err, "choose in pool %q", name)
	var found bool
	if r.pick != nil {
		address, done, found = r.pick(name, tried)
	} else {
		address, found = r.leastLoaded(name, tried)
		done = func(bool) {}
	}
	if !found {
		return "", nil, outcome.NotRunf(outcome.CodeNoServer, "no backend server takes new work")
	}
	return address, done, nil
}

// leastLoaded returns the address of the backend server with the least reported load that has not been tried.
func (r *Relay) leastLoaded(name string, tried map[string]bool) (address string, found bool) {
	snapshot := r.control.Snapshot()
	pool, _ := snapshot.Tables.FindPool(name)
	least := -1
	for _, row := range pool.Servers {
		server := snapshot.Servers[row.Name]
		if server != nil && server.Usable && !tried[server.Address] && (least < 0 || server.Status.Queue < least) {
			address, least = server.Address, server.Status.Queue
		}
	}
	return address, least >= 0
}
