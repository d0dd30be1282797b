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
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// Limits of the connections to backend servers.
const (
	dialTimeout      = 2 * time.Second
	idleTimeout      = 30 * time.Second
	maxIdlePerServer = 64
	maxHeaderBytes   = 64 << 10
	maxAnswerBytes   = 8 << 20
	maxRefusalBytes  = 4 << 10
)

// Request is one request to a backend server.
type Request struct {
	// Address is the host and port of the backend server.
	Address string
	// Method is the HTTP method.
	Method string
	// Path is the path with its query.
	Path string
	// Header holds the headers to pass on.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Response is the answer of a backend server.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the headers of the answer.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Config configures a Dispatcher.
type Config struct {
	// Checker counts repeats that the transport tried; nil leaves them uncounted.
	Checker *invariant.Checker
	// OnRefused hears that the backend server at the address refused a request sent at the time; nil ignores it.
	OnRefused func(ctx context.Context, address, reason string, sent time.Time)
	// OnServed hears that the backend server at the address answered a request; nil ignores it.
	OnServed func(address string, at time.Time)
}

// Dispatcher sends requests to backend servers; its methods may be called concurrently.
type Dispatcher struct {
	transport *http.Transport
	checker   *invariant.Checker
	refused   func(ctx context.Context, address, reason string, sent time.Time)
	served    func(address string, at time.Time)
	dials     atomic.Uint64
}

// New returns a Dispatcher without connections.
func New(config Config) *Dispatcher {
	d := &Dispatcher{checker: config.Checker, refused: config.OnRefused, served: config.OnServed}
	if d.refused == nil {
		d.refused = func(context.Context, string, string, time.Time) {}
	}
	if d.served == nil {
		d.served = func(string, time.Time) {}
	}
	if d.checker == nil {
		d.checker = new(invariant.Checker)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	// No proxy, no compression of its own and no HTTP/2, whose refusals the transport answers by repeating.
	d.transport = &http.Transport{
		DialContext: d.dial, Protocols: protocols, DisableCompression: true,
		MaxIdleConnsPerHost: maxIdlePerServer, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return d
}

func (d *Dispatcher) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	opened, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened, number: d.dials.Add(1)}, nil
}

// Send sends the request at most once; the error is an outcome.Failure.
func (d *Dispatcher) Send(ctx context.Context, request Request) (Response, error) {
	current := new(call)
	ctx, cancel := context.WithCancel(trace(ctx, current))
	defer cancel()
	answer, err := d.exchange(ctx, current, request)
	result := current.end()
	if current.repeats > 0 {
		// The write was refused before it left, and the outcome stands as it was.
		_ = d.checker.Check(false, "dispatch.once", "the transport repeated a request to %s", request.Address)
	}
	if result == outcome.Done {
		return answer, nil
	}
	return Response{}, failure(ctx, result, err)
}

// trace makes the call the holder of the connection that the transport picks.
func trace(ctx context.Context, current *call) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if picked, ok := info.Conn.(*conn); ok {
				picked.holder.Store(current)
			}
		},
	})
}

// exchange writes the request and reads the whole answer.
func (d *Dispatcher) exchange(ctx context.Context, current *call, request Request) (answer Response, err error) {
	out, err := http.NewRequestWithContext(ctx, request.Method, "http://"+request.Address+request.Path, nil)
	if err != nil {
		return Response{}, err
	}
	out.Header = requestHeader(request.Header)
	if len(request.Body) > 0 {
		// Without GetBody the transport cannot rewind the body.
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(request.Body)), int64(len(request.Body))
	}
	// RoundTrip follows no redirects, which would run the request at another address.
	sent := time.Now()
	response, err := d.transport.RoundTrip(out)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	content, err := readWhole(response)
	if err != nil {
		return Response{}, fmt.Errorf("answer broke off: %w", err)
	}
	if reason, ok := refusal(response.StatusCode, content); ok {
		current.note((*outcome.Dispatch).MarkRefused)
		d.refused(ctx, request.Address, reason, sent)
		return Response{}, fmt.Errorf("backend server refused: %s", reason)
	}
	current.note((*outcome.Dispatch).MarkResponded)
	d.served(request.Address, time.Now())
	return Response{Status: response.StatusCode, Header: header.EndToEnd(response.Header), Body: content}, nil
}

// errNoLength is the error of an answer whose end cannot be told from a broken connection.
var errNoLength = errors.New("answer has neither a length nor chunks")

// readWhole reads the body and fails unless it is provably whole.
func readWhole(response *http.Response) ([]byte, error) {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return nil, errors.New("backend server switched protocols unasked")
	}
	if response.Request.Method == http.MethodHead {
		return nil, nil
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err == nil && len(content) > maxAnswerBytes {
		err = fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return content, err
}

// refusal returns the reason if the answer says that nothing was run.
func refusal(status int, content []byte) (reason string, ok bool) {
	if status != http.StatusServiceUnavailable || len(content) > maxRefusalBytes {
		return "", false
	}
	var refused engine.Refusal
	decoder := json.NewDecoder(bytes.NewReader(content))
	// A longer object is an answer of the service's own.
	decoder.DisallowUnknownFields()
	if decoder.Decode(&refused) != nil || !refused.Refused {
		return "", false
	}
	return refused.Reason, true
}

// failure returns the Failure of a dispatch that brought no answer.
func failure(ctx context.Context, result outcome.Outcome, err error) *outcome.Failure {
	code := outcome.CodeBackend
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = outcome.CodeDeadline
	}
	if result == outcome.NotRun {
		return outcome.NotRunf(code, "%v", err)
	}
	return outcome.Unknownf(code, "%v", err)
}
