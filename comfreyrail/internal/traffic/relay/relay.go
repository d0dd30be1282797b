package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Request is one plain request.
type Request struct {
	// ID identifies the request.
	ID string
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

// Answer is the answer of a plain service.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the headers of the answer.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Config configures a Relay.
type Config struct {
	// Control publishes the state.
	Control *control.Control
	// HTTP makes the calls to the services.
	HTTP *http.Client
}

// Relay passes plain requests on.
type Relay struct {
	control *control.Control
	http    *http.Client
}

// New returns a Relay.
func New(config Config) *Relay {
	return &Relay{control: config.Control, http: config.HTTP}
}

// maxAnswerBytes is the greatest size of an answer.
const maxAnswerBytes = 8 << 20

// Run passes the request to one backend server; the error holds an outcome.Failure.
func (r *Relay) Run(ctx context.Context, request Request) (answer Answer, err error) {
	address, err := r.choose(request.Route.Pool)
	if err != nil {
		return Answer{}, err
	}
	out, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path, body(request.Body))
	if err != nil {
		return Answer{}, outcome.NotRunf(outcome.CodeInvalid, "%v", err)
	}
	out.Header = request.Header.Clone()
	response, err := r.http.Do(out)
	if err != nil {
		return Answer{}, outcome.Unknownf(outcome.CodeBackend, "%v", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err == nil && len(content) > maxAnswerBytes {
		err = fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return Answer{}, outcome.Unknownf(outcome.CodeBackend, "answer broke off: %v", err)
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: content}, nil
}

// choose returns the address of the least loaded backend server of the pool.
func (r *Relay) choose(name string) (address string, err error) {
	defer errors.DeferredAnnotatef(&err, "choose in pool %q", name)
	snapshot := r.control.Snapshot()
	pool, _ := snapshot.Tables.FindPool(name)
	least := -1
	for _, row := range pool.Servers {
		server := snapshot.Servers[row.Name]
		if server.Usable && (least < 0 || server.Status.Queue < least) {
			address, least = server.Address, server.Status.Queue
		}
	}
	if least < 0 {
		return "", outcome.NotRunf(outcome.CodeNoServer, "no backend server takes new work")
	}
	return address, nil
}
