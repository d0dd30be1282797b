package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/peer"
	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// KindForward is the kind of the call that carries a ForwardedRequest; the response is a ForwardedResponse.
const KindForward peer.Kind = "forward"

// ForwardedRequest is a request that is sent to the instance that minted its key.
type ForwardedRequest struct {
	// ID identifies the request.
	ID string `cbor:"1,keyasint"`
	// Workspace is the workspace of the caller.
	Workspace string `cbor:"2,keyasint"`
	// Route is the name of the route that the request matched.
	Route string `cbor:"3,keyasint"`
	// Method is the HTTP method.
	Method string `cbor:"4,keyasint"`
	// Path is the path with its query.
	Path string `cbor:"5,keyasint"`
	// Header holds the headers to forward.
	Header http.Header `cbor:"6,keyasint"`
	// Body is the whole body.
	Body []byte `cbor:"7,keyasint"`
}

// ForwardedResponse is the result of a forwarded request.
type ForwardedResponse struct {
	// Outcome is the outcome of the request; Response is valid only if it is Done.
	Outcome outcome.Outcome `cbor:"1,keyasint"`
	// Response is the response of a done request.
	Response Response `cbor:"2,keyasint"`
	// Code is the reason of a failure.
	Code outcome.Code `cbor:"3,keyasint,omitempty"`
	// Message describes the failure.
	Message string `cbor:"4,keyasint,omitempty"`
	// RetryAfter is the time after which a repeat may succeed.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
}

// Mint returns a new idempotency key of this instance; the error is an *outcome.Failure.
func (r *Relay) Mint() (key string, err error) { return r.claims.Mint() }

// runMinted runs the request if this incarnation minted its key, and otherwise forwards it to the one that did.
func (r *Relay) runMinted(ctx context.Context, minted claim.MintedKey, request Request) (response Response, err error) {
	minter, self, ok := r.claims.Minter(minted)
	switch {
	case self:
		return decodeResponse(r.claims.RunMinted(ctx, minted, r.newClaimsRequest(minted.String(), request)))
	case !ok || r.forward == nil:
		return Response{}, outcome.Unknownf(outcome.CodeClaimed, "the instance that minted the idempotency key is gone; the request may have run")
	}
	received, err := r.forwardTo(ctx, minter, ForwardedRequest{
		ID: request.ID, Workspace: request.Workspace, Route: request.Route.Name,
		Method: request.Method, Path: request.Path, Header: request.Header, Body: request.Body,
	})
	switch {
	case err != nil:
		return Response{}, outcome.Unknownf(outcome.CodeClaimed, "the instance that minted the idempotency key did not answer: %v", err)
	case received.Outcome == outcome.Done:
		return received.Response, nil
	default:
		return Response{}, &outcome.Failure{Outcome: received.Outcome, Code: received.Code, Message: received.Message, RetryAfter: received.RetryAfter}
	}
}

// forwardTimeout is the time after which an instance that has not responded to a forwarded request counts as unreachable.
const forwardTimeout = 15 * time.Second

// forwardTo forwards the request and waits for the response or the end of the context.
//
// The call goes on if the caller disconnects, because canceling it would close the connection to the other instance.
func (r *Relay) forwardTo(ctx context.Context, to member.Member, forwarded ForwardedRequest) (response ForwardedResponse, err error) {
	type result struct {
		response ForwardedResponse
		err      error
	}
	done := make(chan result, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), forwardTimeout)
		defer cancel()
		response, err := r.forward(callCtx, to, forwarded)
		done <- result{response, err}
	}()
	select {
	case got := <-done:
		return got.response, got.err
	case <-ctx.Done():
		return ForwardedResponse{}, ctx.Err()
	}
}

// ServePeer decodes and runs a ForwardedRequest from another instance; the result is a ForwardedResponse.
func (r *Relay) ServePeer(ctx context.Context, _ member.Member, body []byte) (response any, err error) {
	var forwarded ForwardedRequest
	if err = peer.Decode(body, &forwarded); err != nil {
		return nil, err
	}
	return r.ServeForwarded(ctx, forwarded), nil
}

// ServeForwarded runs a forwarded request if this incarnation minted its key; otherwise the outcome is NotRun.
//
// The run goes on if the other instance stops waiting.
func (r *Relay) ServeForwarded(ctx context.Context, forwarded ForwardedRequest) ForwardedResponse {
	response, err := r.runForwarded(context.WithoutCancel(ctx), forwarded)
	if err == nil {
		return ForwardedResponse{Outcome: outcome.Done, Response: response}
	}
	failure := outcome.FromError(err)
	return ForwardedResponse{Outcome: failure.Outcome, Code: failure.Code, Message: failure.Message, RetryAfter: failure.RetryAfter}
}

// runForwarded runs a forwarded request, with the deadline of its route in this instance's tables.
func (r *Relay) runForwarded(ctx context.Context, forwarded ForwardedRequest) (response Response, err error) {
	minted, ok := claim.ParseMintedKey(forwarded.Header.Get(KeyHeader))
	if _, self, _ := r.claims.Minter(minted); !ok || !self {
		return Response{}, outcome.NotRunf(outcome.CodeInvalid, "the idempotency key was not minted by this instance")
	}
	route, ok := findRoute(r.control.Snapshot().Tables, forwarded.Route)
	if !ok {
		return Response{}, outcome.NotRunf(outcome.CodeNoRoute, "route %q is not in force at the instance that minted the idempotency key", forwarded.Route)
	}
	ctx, cancel := context.WithTimeout(ctx, route.Timeout())
	defer cancel()
	return r.runMinted(ctx, minted, Request{
		ID: forwarded.ID, Workspace: forwarded.Workspace, Route: route,
		Method: forwarded.Method, Path: forwarded.Path, Header: forwarded.Header, Body: forwarded.Body,
	})
}

// findRoute returns the route with the name.
func findRoute(tables *table.Tables, name string) (table.Route, bool) {
	for _, route := range tables.Routes {
		if route.Name == name {
			return route, true
		}
	}
	return table.Route{}, false
}
