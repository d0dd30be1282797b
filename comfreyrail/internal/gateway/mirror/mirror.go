package mirror

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/rail/limit"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// changesPath is the URL path of the request for changes.
const changesPath = "/changes"

// Limits of requests and responses.
const (
	// requestTimeout is the timeout of reading a request.
	requestTimeout = 2 * time.Second
	// idleTimeout is how long a connection stays open without a request.
	idleTimeout = 30 * time.Second
	// largeValue is the size in bytes from which a value counts as large.
	largeValue = 16 << 10
	// maxLargeResponses is the maximum number of responses with large values that are sent at the same time. More would share the
	// link, and all of them would reach their timeout.
	maxLargeResponses = 2
)

// Config configures a Server.
type Config struct {
	// Listen is the host and port to listen on.
	Listen string
	// Changes returns the changes that an instance asks for, and false if the store has not been read yet.
	Changes func(request catalog.ChangesRequest) (catalog.Changes, bool)
	// Log is the logger.
	Log *logrus.Entry
}

// Server serves the changes to other instances over HTTP.
type Server struct {
	config         Config
	largeResponses chan struct{} // holds an element for each response with a large value that is being sent
}

// New returns a Server, which listens once Serve is called.
func New(config Config) *Server {
	return &Server{config: config, largeResponses: make(chan struct{}, maxLargeResponses)}
}

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
	request, err := parseRequest(r.URL.Query())
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	changes, ok := s.config.Changes(request)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if hasLargeValue(changes.Items) {
		select {
		case s.largeResponses <- struct{}{}:
			defer func() { <-s.largeResponses }()
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
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

func hasLargeValue(items []store.Item) bool {
	return slices.ContainsFunc(items, func(item store.Item) bool { return len(item.Value) > largeValue })
}

// Names of the parameters of a request for changes.
const (
	eraParameter      = "era"     // missing means that the era is unknown
	versionParameter  = "version" // missing means that there is no configuration
	afterParameter    = "after"
	maxValueParameter = "max" // missing or zero means values of any size
)

func parseRequest(query url.Values) (request catalog.ChangesRequest, err error) {
	defer errors.DeferredAnnotatef(&err, "request for changes")
	if request.After, err = strconv.ParseUint(query.Get(afterParameter), 10, 64); err != nil {
		return request, err
	}
	if request.Era, err = parseOptional(query, eraParameter); err != nil {
		return request, err
	}
	if request.Version, err = parseOptional(query, versionParameter); err != nil {
		return request, err
	}
	if text := query.Get(maxValueParameter); text != "" {
		request.MaxValueBytes, err = strconv.Atoi(text)
	}
	return request, err
}

// parseOptional returns the value of a parameter, zero if it is missing, and an error if it is not a number.
func parseOptional(query url.Values, name string) (value uint64, err error) {
	text := query.Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func encodeRequest(request catalog.ChangesRequest) string {
	query := url.Values{afterParameter: {strconv.FormatUint(request.After, 10)}}
	if request.Era > 0 {
		query.Set(eraParameter, strconv.FormatUint(request.Era, 10))
	}
	if request.Version > 0 {
		query.Set(versionParameter, strconv.FormatUint(request.Version, 10))
	}
	if request.MaxValueBytes > 0 {
		query.Set(maxValueParameter, strconv.Itoa(request.MaxValueBytes))
	}
	return query.Encode()
}

// Client fetches changes from other instances.
type Client struct{ http *http.Client }

// NewClient returns a Client that sends its requests through the given HTTP client.
func NewClient(client *http.Client) *Client { return &Client{http: client} }

// FetchChanges fetches changes from the instance at the address.
func (c *Client) FetchChanges(ctx context.Context, address string, wanted catalog.ChangesRequest) (changes catalog.Changes, err error) {
	defer errors.DeferredAnnotatef(&err, "fetch changes from %s", address)
	target := url.URL{Scheme: "http", Host: address, Path: changesPath, RawQuery: encodeRequest(wanted)}
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
