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
	// Header holds the headers to forward.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Response is the response of a backend server.
type Response = dispatch.Response

// Config configures a Relay.
type Config struct {
	// Control provides the tables in force and the status of the backend servers.
	Control *control.Control
	// Dispatcher sends requests to the backend servers.
	Dispatcher *dispatch.Dispatcher
	// Claims runs requests that have an idempotency key. nil means that they are relayed like others, and that Mint,
	// ServePeer and ServeForwarded must not be called.
	Claims *claims.Claims
	// Forward sends a request to another instance; nil means that no other instance can be reached.
	Forward func(ctx context.Context, to member.Member, forwarded ForwardedRequest) (ForwardedResponse, error)
	// ChooseServer returns the address of a backend server of the pool that is not in tried, for one call.
	// done must be called with the result of the call. nil means the server with the least reported load.
	ChooseServer func(pool string, tried map[string]bool) (address string, done func(succeeded bool), ok bool)
	// TakeRetry takes one retry on the pool from its retry budget, and reports whether the budget allows it.
	// It is called for idempotent requests that may have run; nil allows no such retry, unlike in package completion, where
	// nil allows every attempt.
	TakeRetry func(pool string) bool
}

// Relay sends plain requests to backend servers; its methods may be called concurrently.
type Relay struct {
	control      *control.Control
	dispatcher   *dispatch.Dispatcher
	claims       *claims.Claims
	forward      func(ctx context.Context, to member.Member, forwarded ForwardedRequest) (ForwardedResponse, error)
	chooseServer func(pool string, tried map[string]bool) (address string, done func(succeeded bool), ok bool)
	takeRetry    func(pool string) bool
}

// New returns a Relay with the configuration.
func New(config Config) *Relay {
	return &Relay{
		control: config.Control, dispatcher: config.Dispatcher, claims: config.Claims, forward: config.Forward,
		chooseServer: config.ChooseServer, takeRetry: config.TakeRetry,
	}
}

// maxDispatches is the maximum number of backend servers that one request is sent to.
const maxDispatches = 3

// Run runs the request; the error wraps an *outcome.Failure.
//
// A request that has an idempotency key and is not idempotent runs under the claim of the key.
func (r *Relay) Run(ctx context.Context, request Request) (response Response, err error) {
	key := request.Header.Get(KeyHeader)
	if key == "" || request.Route.Idempotent || r.claims == nil {
		return r.dispatch(ctx, request)
	}
	return r.runKeyed(ctx, key, request)
}

// dispatch sends the request to backend servers of its pool.
//
// Another backend server is tried only if the request certainly has not run, or if it is idempotent.
func (r *Relay) dispatch(ctx context.Context, request Request) (response Response, err error) {
	policy := outcome.RetryPolicy{
		Idempotent: request.Route.Idempotent, MaxDispatches: maxDispatches, TakeRetry: r.retryTaker(request.Route.Pool),
	}
	tried := make(map[string]bool)
	mayHaveRun := false
	for {
		address, done, chooseErr := r.choose(request.Route.Pool, tried)
		if chooseErr != nil {
			return Response{}, sendOrChooseError(err, chooseErr)
		}
		tried[address] = true
		response, err = r.dispatcher.Send(ctx, dispatch.Request{
			Address: address, Method: request.Method, Path: request.Path, Header: request.Header, Body: request.Body,
			NewConnection: !request.Route.Idempotent,
		})
		// A call that ended because its caller disconnected isn't a failure of the backend server.
		done(err == nil || errors.Is(ctx.Err(), context.Canceled))
		if err == nil {
			return response, nil
		}
		failure := outcome.FromError(err)
		mayHaveRun = mayHaveRun || failure.Outcome != outcome.NotRun
		if mayHaveRun {
			// Once an idempotent request may have run, a later dispatch that fails as NotRun doesn't change its outcome
			// from Unknown.
			failure.Outcome = outcome.Unknown
		}
		if ctx.Err() != nil || !policy.AllowRetry(failure.Outcome) {
			return Response{}, failure
		}
		err = failure
	}
}

// retryTaker returns a function that takes one retry on the pool from its budget, or nil if there is no budget.
func (r *Relay) retryTaker(pool string) func() bool {
	if r.takeRetry == nil {
		return nil
	}
	return func() bool { return r.takeRetry(pool) }
}

// sendOrChooseError returns sendErr, the failure of the last dispatch, or chooseErr if there was no dispatch.
func sendOrChooseError(sendErr, chooseErr error) error {
	if sendErr != nil {
		return sendErr
	}
	return chooseErr
}

// choose returns the address of a usable backend server of the pool that has not been tried. If there is none, the error
// wraps an *outcome.Failure with CodeNoServer.
func (r *Relay) choose(pool string, tried map[string]bool) (address string, done func(succeeded bool), err error) {
	defer errors.DeferredAnnotatef(&err, "choose in pool %q", pool)
	var found bool
	if r.chooseServer != nil {
		address, done, found = r.chooseServer(pool, tried)
	} else {
		address, found = r.leastLoaded(pool, tried)
		done = func(bool) {}
	}
	if !found {
		return "", nil, outcome.NotRunf(outcome.CodeNoServer, "no backend server takes new work")
	}
	return address, done, nil
}

// leastLoaded returns the address of the backend server with the least reported load that has not been tried.
func (r *Relay) leastLoaded(poolName string, tried map[string]bool) (address string, found bool) {
	snapshot := r.control.Snapshot()
	pool, _ := snapshot.Tables.PoolByName(poolName)
	least := -1
	for _, row := range pool.Servers {
		server := snapshot.Servers[row.Name]
		if server != nil && server.Usable && !tried[server.Address] && (least < 0 || server.Status.Queue < least) {
			address, least = server.Address, server.Status.Queue
		}
	}
	return address, least >= 0
}
