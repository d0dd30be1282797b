package mirror

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/rail/limit"
)

// changesPath is the URL path of the request for changes.
const changesPath = "/changes"

// Limits of requests and responses.
const (
	// requestTimeout is the timeout of reading a request.
	requestTimeout = 2 * time.Second
	// idleTimeout is how long a connection stays open without a request.
	idleTimeout = 30 * time.Second
)

// Config configures a Server.
type Config struct {
	// Listen is the host and port to listen on.
	Listen string
	// Changes returns the changes after a revision, and false if the store has not been read yet.
	Changes func(after uint64) (catalog.Changes, bool)
	// Log is the logger.
	Log *logrus.Entry
}

// Server serves the changes to other instances over HTTP.
type Server struct{ config Config }

// New returns a Server, which listens once Serve is called.
func New(config Config) *Server { return &Server{config: config} }

// Serve serves requests until the context ends.
func (s *Server) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "listener for instances")
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", s.config.Listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+changesPath, s.serveChanges)
	server := &http.Server{Handler: mux, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	return server.Serve(listener)
}

func (s *Server) serveChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	changes, ok := s.config.Changes(after)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	content, err := cbor.Marshal(changes)
	if err != nil {
		s.config.Log.WithError(err).Error("cannot encode the changes")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if _, err = w.Write(content); err != nil {
		s.config.Log.WithError(err).Debug("cannot send the changes")
	}
}

// Client fetches changes from other instances.
type Client struct{ http *http.Client }

// NewClient returns a Client that sends its requests through the given HTTP client.
func NewClient(client *http.Client) *Client { return &Client{http: client} }

// FetchChanges fetches the changes after a revision from the instance at the address.
func (c *Client) FetchChanges(ctx context.Context, address string, after uint64) (changes catalog.Changes, err error) {
	defer errors.DeferredAnnotatef(&err, "fetch changes from %s", address)
	target := url.URL{Scheme: "http", Host: address, Path: changesPath, RawQuery: "after=" + strconv.FormatUint(after, 10)}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return changes, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return changes, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, limit.ChangesBytes))
	if err != nil {
		return changes, err
	}
	if response.StatusCode != http.StatusOK {
		return changes, fmt.Errorf("unexpected status %d", response.StatusCode)
	}
	err = cbor.Unmarshal(content, &changes)
	return changes, err
}
