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

// Limits of a call.
const (
	callTimeout    = 30 * time.Second
	maxAnswerBytes = 64 << 20
)

// client calls the administration interface of one instance.
type client struct {
	address string
	token   string
}

func (c *client) setToken(content []byte) { c.token = strings.TrimSpace(string(content)) }

// answer is the answer to a call.
type answer struct {
	status int
	body   []byte
}

// call makes one call; an error means that there is no answer.
func (c *client) call(method, path string, query url.Values, body any) (answer, error) {
	var content []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return answer{}, failf(ExitUsage, "%v", err)
		}
		content = encoded
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(content))
	if err != nil {
		return answer{}, failf(ExitUsage, "address %q is not host:port: %v", c.address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, c.explain(err)
	}
	defer response.Body.Close()
	received, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, failf(ExitUnknown, "the answer of %s broke off: %v", c.address, err)
	}
	return answer{status: response.StatusCode, body: received}, nil
}

// explain tells a connection that was never made from an answer that was lost.
func (c *client) explain(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return failf(ExitUnreachable, "%s cannot be reached, nothing was sent: %v; try another instance with --address", c.address, operation.Err)
	}
	return failf(ExitUnknown, "%s gave no answer: %v", c.address, err)
}

// get reads a resource into the value.
func (c *client) get(path string, query url.Values, into any) error {
	received, err := c.call(http.MethodGet, path, query, nil)
	if err != nil {
		return unsent(err)
	}
	if received.status != http.StatusOK {
		return c.refused(received)
	}
	return received.decode(into)
}

// decode reads the body of the answer into the value.
func (a answer) decode(into any) error {
	if err := json.Unmarshal(a.body, into); err != nil {
		return failf(ExitFailure, "the answer cannot be read: %v; check that --address is that of an administration listener", err)
	}
	return nil
}

// refused returns the error that an answer without a result stands for.
func (c *client) refused(received answer) error {
	var told struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(received.body, &told) != nil || told.Error == "" {
		told.Error = strings.TrimSpace(string(received.body))
	}
	switch received.status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return failf(ExitDenied, "%s; give it with --token-file", told.Error)
	case http.StatusNotFound:
		return failf(ExitAbsent, "%s", told.Error)
	case http.StatusBadRequest:
		return failf(ExitUsage, "%s", told.Error)
	}
	return failf(ExitFailure, "%s answered with status %d: %s", c.address, received.status, told.Error)
}
