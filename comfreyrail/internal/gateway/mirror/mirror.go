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
)

// path is the path of the question for changes.
const path = "/changes"

// Times and sizes of calls.
const (
	// readTimeout is the longest time to read a question.
	readTimeout = 2 * time.Second
	// idleTimeout is how long a connection stays open without a question.
	idleTimeout = 30 * time.Second
	// maxAnswer is the greatest size of an answer in bytes.
	maxAnswer = 16 << 20
)

// Config configures a Server.
type Config struct {
	// Listen is the host and port to listen on.
	Listen string
	// Changes returns what changed after a revision, and false while nothing is known.
	Changes func(after uint64) (catalog.Changes, bool)
	// Log receives the log.
	Log *logrus.Entry
}

// Server answers other instances.
type Server struct{ config Config }

// New returns a Server.
func New(config Config) *Server { return &Server{config: config} }

// Serve answers until the context ends.
func (s *Server) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "listener for instances")
	bound, err := new(net.ListenConfig).Listen(ctx, "tcp", s.config.Listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, s.changes)
	server := &http.Server{Handler: mux, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	return server.Serve(bound)
}

func (s *Server) changes(w http.ResponseWriter, r *http.Request) {
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
		s.config.Log.WithError(err).Error("changes not written")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if _, err = w.Write(content); err != nil {
		s.config.Log.WithError(err).Debug("changes not sent")
	}
}

// Client asks other instances.
type Client struct{ http *http.Client }

// NewClient returns a Client that makes its calls with the given one.
func NewClient(client *http.Client) *Client { return &Client{http: client} }

// Changes returns what the instance at the address knows that changed after a revision.
func (c *Client) Changes(ctx context.Context, address string, after uint64) (changes catalog.Changes, err error) {
	defer errors.DeferredAnnotatef(&err, "ask %s for changes", address)
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: "after=" + strconv.FormatUint(after, 10)}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return changes, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return changes, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return changes, err
	}
	if response.StatusCode != http.StatusOK {
		return changes, fmt.Errorf("the instance answered with status %d", response.StatusCode)
	}
	err = cbor.Unmarshal(content, &changes)
	return changes, err
}
