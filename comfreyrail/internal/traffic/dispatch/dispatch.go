package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/header"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/limit"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// Limits of the connections to backend servers and of their responses.
const (
	// dialTimeout is the maximum time to establish a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// maxIdlePerServer is the maximum number of idle connections to each backend server.
	maxIdlePerServer = 64
	// noIdleConns is the maximum number of idle connections of a transport that keeps none; zero would be the default of net/http.
	noIdleConns = -1
	// maxResponseBytes is the maximum size of the body of a response.
	maxResponseBytes = 8 << 20
	// maxRefusalBytes is the maximum size of a body that is parsed as a refusal.
	maxRefusalBytes = 4 << 10
)

// Request is one request to a backend server.
type Request struct {
	// Address is the host and port of the backend server.
	Address string
	// Method is the HTTP method.
	Method string
	// Path is the path with its query.
	Path string
	// Header holds the headers of the caller; hop-by-hop headers and Expect aren't forwarded.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// NewConnection requires a connection on which no other request has been sent, so that a response to an earlier request can't
	// be taken for the response to this one.
	NewConnection bool
}

// Response is the response of a backend server.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the end-to-end headers of the response.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Config configures a Dispatcher.
type Config struct {
	// Checker counts the dispatches in which, by the time Send returns, the transport was denied a write that would have
	// repeated the request or came after its end; nil means that they aren't counted.
	Checker *invariant.Checker
	// OnRefused, if not nil, is called when the backend server at the address has refused a request; sentAt is the time
	// at which the request was sent.
	OnRefused func(ctx context.Context, address, reason string, sentAt time.Time)
	// OnServed, if not nil, is called when the whole response of the backend server at the address has arrived; at is the
	// time of its arrival.
	OnServed func(address string, at time.Time)
}

// Dispatcher sends requests to backend servers; its methods may be called concurrently.
type Dispatcher struct {
	// pooled reuses idle connections.
	pooled *http.Transport
	// unpooled opens a new connection for each request.
	unpooled  *http.Transport
	checker   *invariant.Checker
	onRefused func(ctx context.Context, address, reason string, sentAt time.Time)
	onServed  func(address string, at time.Time)
	// lastConnID is the ID of the newest connection, and so the number of connections established.
	lastConnID atomic.Uint64
}

// New returns a Dispatcher without connections.
func New(config Config) *Dispatcher {
	d := &Dispatcher{checker: config.Checker, onRefused: config.OnRefused, onServed: config.OnServed}
	if d.onRefused == nil {
		d.onRefused = func(context.Context, string, string, time.Time) {}
	}
	if d.onServed == nil {
		d.onServed = func(string, time.Time) {}
	}
	if d.checker == nil {
		d.checker = new(invariant.Checker)
	}
	d.pooled = d.newTransport(maxIdlePerServer)
	d.unpooled = d.newTransport(noIdleConns)
	return d
}

// newTransport returns a transport that keeps at most maxIdle idle connections to each backend server, or none for noIdleConns.
func (d *Dispatcher) newTransport(maxIdle int) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	// The transport uses no proxy, no compression of its own and no HTTP/2. Over HTTP/2 it would retry requests whose
	// stream the server refuses.
	return &http.Transport{
		DialContext: d.dial, Protocols: protocols, DisableCompression: true,
		MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: limit.HeadBytes,
	}
}

// dial establishes a connection that is guarded against repeated requests.
func (d *Dispatcher) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	netConn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: netConn, id: d.lastConnID.Add(1)}, nil
}

// Send sends the request at most once and returns the whole response. The error is an *outcome.Failure.
func (d *Dispatcher) Send(ctx context.Context, request Request) (Response, error) {
	current := new(lockedDispatch)
	ctx, cancel := context.WithCancel(withConnTrace(ctx, current))
	defer cancel()
	response, err := d.roundTrip(ctx, current, request)
	result := current.end()
	if current.deniedWrites > 0 {
		// No byte of the denied write was sent, so the outcome is correct.
		_ = d.checker.Check(false, "dispatch.once",
			"the transport tried to write a request to %s again or after its end", request.Address)
	}
	if result == outcome.Done {
		return response, nil
	}
	return Response{}, newFailure(ctx, result, err)
}

// withConnTrace returns a context that makes the dispatch the owner of the connection that the transport selects.
func withConnTrace(ctx context.Context, current *lockedDispatch) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.owner.Store(current)
			}
		},
	})
}

// roundTrip sends the request, reads the whole response and records in the dispatch whether it is a refusal.
func (d *Dispatcher) roundTrip(ctx context.Context, current *lockedDispatch, request Request) (response Response, err error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+request.Address+request.Path, nil)
	if err != nil {
		return Response{}, err
	}
	httpRequest.Header = requestHeader(request.Header)
	if len(request.Body) > 0 {
		// Without GetBody the transport can't rewind the body to send it again.
		httpRequest.Body, httpRequest.ContentLength = io.NopCloser(bytes.NewReader(request.Body)), int64(len(request.Body))
	}
	transport := d.pooled
	if request.NewConnection {
		transport = d.unpooled
	}
	// RoundTrip doesn't follow redirects, which would run the request at another address.
	sentAt := time.Now()
	httpResponse, err := transport.RoundTrip(httpRequest)
	if err != nil {
		return Response{}, err
	}
	defer httpResponse.Body.Close()
	body, err := readBody(httpResponse)
	if err != nil {
		return Response{}, fmt.Errorf("answer broke off: %w", err)
	}
	if reason, ok := parseRefusal(httpResponse.StatusCode, body); ok {
		current.update((*outcome.Dispatch).MarkRefused)
		d.onRefused(ctx, request.Address, reason, sentAt)
		return Response{}, fmt.Errorf("backend server refused: %s", reason)
	}
	current.update((*outcome.Dispatch).MarkResponded)
	d.onServed(request.Address, time.Now())
	return Response{Status: httpResponse.StatusCode, Header: header.EndToEnd(httpResponse.Header), Body: body}, nil
}

// errNoLength is the error of a response whose end can't be distinguished from a broken connection.
var errNoLength = errors.New("answer has neither a length nor chunks")

// readBody reads the body of the response. It returns an error unless the body is provably complete and has at most
// maxResponseBytes.
func readBody(response *http.Response) ([]byte, error) {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return nil, errors.New("backend server switched protocols unasked")
	}
	if response.Request.Method == http.MethodHead {
		return nil, nil
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = fmt.Errorf("answer exceeds %d bytes", maxResponseBytes)
	}
	return body, err
}

// parseRefusal returns the reason if the response is a refusal, which means that the backend server ran nothing.
func parseRefusal(status int, body []byte) (reason string, ok bool) {
	if status != http.StatusServiceUnavailable || len(body) > maxRefusalBytes {
		return "", false
	}
	var message engine.Refusal
	decoder := json.NewDecoder(bytes.NewReader(body))
	// An object with other fields is a response of the service itself.
	decoder.DisallowUnknownFields()
	if decoder.Decode(&message) != nil || !message.Refused {
		return "", false
	}
	return message.Reason, true
}

// newFailure returns the failure of a dispatch whose result is NotRun or Unknown.
func newFailure(ctx context.Context, result outcome.Outcome, err error) *outcome.Failure {
	code := outcome.CodeBackend
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = outcome.CodeDeadline
	}
	if result == outcome.NotRun {
		return outcome.NotRunf(code, "%v", err)
	}
	return outcome.Unknownf(code, "%v", err)
}
