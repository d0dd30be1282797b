package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Limits of a request.
const (
	// requestTimeout is the maximum time for a request, including reading the response.
	requestTimeout = 30 * time.Second
	// maxResponseBytes is the maximum number of bytes that are read of a response body; the rest is ignored.
	maxResponseBytes = 64 << 20
)

// client sends requests to the admin interface of one instance.
type client struct {
	address string // host:port
	token   string // bearer token, empty for none
}

// setToken sets the bearer token to the content of a token file.
func (c *client) setToken(content []byte) { c.token = strings.TrimSpace(string(content)) }

// response is the HTTP status and the body of a response.
type response struct {
	status int
	body   []byte
}

// do sends a request with the value as its JSON body, or without a body for nil.
//
// It returns a response of any HTTP status; an error means that the request is invalid or that no
// complete response was received.
func (c *client) do(method, path string, query url.Values, value any) (response, error) {
	var requestBody []byte
	if value != nil {
		encoded, err := json.Marshal(value)
		if err != nil {
			return response{}, exitErrorf(ExitUsage, "%v", err)
		}
		requestBody = encoded
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(requestBody))
	if err != nil {
		return response{}, exitErrorf(ExitUsage, "address %q is not host:port: %v", c.address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	httpResponse, err := http.DefaultClient.Do(request)
	if err != nil {
		return response{}, c.connectionError(err)
	}
	defer httpResponse.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return response{}, exitErrorf(ExitUnknown, "the response of %s is incomplete: %v", c.address, err)
	}
	return response{status: httpResponse.StatusCode, body: responseBody}, nil
}

// connectionError returns an error with the code ExitUnreachable if no connection was made, and with ExitUnknown if the response
// was lost, as the request may then have taken effect.
func (c *client) connectionError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return exitErrorf(ExitUnreachable, "%s cannot be reached, nothing was sent: %v; try another instance with --address", c.address, opErr.Err)
	}
	return exitErrorf(ExitUnknown, "%s did not respond: %v", c.address, err)
}

// get requests a resource and decodes the response into the value; any status but 200 is an error.
func (c *client) get(path string, query url.Values, value any) error {
	resp, err := c.do(http.MethodGet, path, query, nil)
	if err != nil {
		return readOnlyError(err)
	}
	if resp.status != http.StatusOK {
		return c.statusError(resp)
	}
	return resp.decode(value)
}

// decode decodes the JSON body into the value.
func (r response) decode(value any) error {
	if err := json.Unmarshal(r.body, value); err != nil {
		return exitErrorf(ExitFailure, "the response cannot be decoded: %v; check that --address is that of an admin interface", err)
	}
	return nil
}

// statusError returns the error for an error response, with the exit code that corresponds to its HTTP status.
func (c *client) statusError(resp response) error {
	var errorBody struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(resp.body, &errorBody) != nil || errorBody.Error == "" {
		errorBody.Error = strings.TrimSpace(string(resp.body))
	}
	switch resp.status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return exitErrorf(ExitDenied, "%s; give the token with --token-file", errorBody.Error)
	case http.StatusNotFound:
		return exitErrorf(ExitAbsent, "%s", errorBody.Error)
	case http.StatusBadRequest:
		return exitErrorf(ExitUsage, "%s", errorBody.Error)
	}
	return exitErrorf(ExitFailure, "%s responded with status %d: %s", c.address, resp.status, errorBody.Error)
}
