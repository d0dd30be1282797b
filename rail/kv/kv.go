package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Paths of the service's HTTP interface.
const (
	// PathKeys is the parent of one path for each key.
	PathKeys = "/v1/keys/"
	// PathList answers GET with the records under a prefix.
	PathList = "/v1/list"
	// PathWatch is the parent of one path for each key to wait for.
	PathWatch = "/v1/watch/"
	// PathLeases takes POST to create a lease and is the parent of the leases.
	PathLeases = "/v1/leases"
	// PathInstances answers GET with the lagging list of instances.
	PathInstances = "/v1/instances"
)

// MaxValueSize is the greatest size of a value in bytes.
const MaxValueSize = 1 << 20

// Record is one key with its value.
type Record struct {
	// Key is the name of the record.
	Key string `json:"key"`
	// Value is the content of the record.
	Value []byte `json:"value"`
	// Version grows with every write to the service and never repeats.
	Version uint64 `json:"version"`
	// Lease is the lease that the record belongs to, zero for none.
	Lease uint64 `json:"lease,omitempty"`
}

// Put is a conditional write.
type Put struct {
	// Value is the new content.
	Value []byte `json:"value"`
	// Expect is the version that the record must have; zero means that it must not exist.
	Expect uint64 `json:"expect"`
	// Lease deletes the record when the lease ends; zero for none.
	Lease uint64 `json:"lease,omitempty"`
	// TTL deletes the record after this time unless it is written again; zero for never.
	TTL time.Duration `json:"ttl,omitempty"`
}

// Lease is a lease as the service grants it.
type Lease struct {
	// ID identifies the lease and is a fencing number: later leases have greater ones.
	ID uint64 `json:"id"`
	// TTL is the time after which the lease lapses unless it is renewed.
	TTL time.Duration `json:"ttl"`
}

// ListEntry is one entry of the platform's lagging list of instances and backend servers.
type ListEntry struct {
	// Name identifies the instance or backend server.
	Name string `json:"name"`
	// Leaving tells that it will stop soon.
	Leaving bool `json:"leaving"`
}

// Errors that the service's answers map to; every other error leaves the effect of a write unknown.
const (
	// ErrConflict means that the record did not have the expected version; nothing was written.
	ErrConflict = errors.ConstError("version conflict")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.ConstError("not found")
	// ErrThrottled means that the service refused the call for its rate; nothing was written.
	ErrThrottled = errors.ConstError("call rate exceeded")
)

// Client calls the service; its methods may be called concurrently.
type Client struct {
	// Address is the host and port of the service.
	Address string
	// HTTP makes the calls; nil means a client that all nil ones share.
	HTTP *http.Client
}

// Get returns the record of the key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (record Record, err error) {
	defer errors.DeferredAnnotatef(&err, "get %q", key)
	err = c.call(ctx, http.MethodGet, PathKeys+url.PathEscape(key), nil, &record)
	return record, err
}

// Put writes the record if it has the expected version, and returns the new version.
func (c *Client) Put(ctx context.Context, key string, put Put) (version uint64, err error) {
	defer errors.DeferredAnnotatef(&err, "put %q", key)
	var record Record
	err = c.call(ctx, http.MethodPut, PathKeys+url.PathEscape(key), put, &record)
	return record.Version, err
}

// Delete removes the record if it has the expected version.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) (err error) {
	defer errors.DeferredAnnotatef(&err, "delete %q", key)
	path := PathKeys + url.PathEscape(key) + "?expect=" + strconv.FormatUint(expect, 10)
	return c.call(ctx, http.MethodDelete, path, nil, nil)
}

// List returns the records whose keys begin with prefix, in one call.
func (c *Client) List(ctx context.Context, prefix string) (records []Record, err error) {
	defer errors.DeferredAnnotatef(&err, "list %q", prefix)
	err = c.call(ctx, http.MethodGet, PathList+"?prefix="+url.QueryEscape(prefix), nil, &records)
	return records, err
}

// Watch waits until the record's version exceeds after and returns it, or ErrNotFound if wait passes first.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (record Record, err error) {
	defer errors.DeferredAnnotatef(&err, "watch %q", key)
	path := fmt.Sprintf("%s%s?after=%d&wait=%s", PathWatch, url.PathEscape(key), after, wait)
	err = c.call(ctx, http.MethodGet, path, nil, &record)
	return record, err
}

// Grant creates a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (lease Lease, err error) {
	defer errors.DeferredAnnotatef(&err, "grant lease")
	err = c.call(ctx, http.MethodPost, PathLeases, Lease{TTL: ttl}, &lease)
	return lease, err
}

// Renew extends a lease by its time to live, or returns ErrNotFound if it has lapsed.
func (c *Client) Renew(ctx context.Context, id uint64) (err error) {
	defer errors.DeferredAnnotatef(&err, "renew lease %d", id)
	return c.call(ctx, http.MethodPost, fmt.Sprintf("%s/%d", PathLeases, id), nil, nil)
}

// Revoke ends a lease and deletes its records.
func (c *Client) Revoke(ctx context.Context, id uint64) (err error) {
	defer errors.DeferredAnnotatef(&err, "revoke lease %d", id)
	return c.call(ctx, http.MethodDelete, fmt.Sprintf("%s/%d", PathLeases, id), nil, nil)
}

// Instances returns the platform's lagging list of live and leaving instances.
func (c *Client) Instances(ctx context.Context) (instances []ListEntry, err error) {
	defer errors.DeferredAnnotatef(&err, "list instances")
	err = c.call(ctx, http.MethodGet, PathInstances, nil, &instances)
	return instances, err
}

// maxIdle is the number of idle connections kept to the service.
const maxIdle = 32

// sharedClient uses no proxy; a repeat of a write by the transport is refused for its version.
var sharedClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle}}

// call makes one call and decodes the answer into result.
func (c *Client) call(ctx context.Context, method, path string, body, result any) (err error) {
	var content []byte
	if body != nil {
		if content, err = json.Marshal(body); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(content))
	if err != nil {
		return err
	}
	client := c.HTTP
	if client == nil {
		client = sharedClient
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() {
		// A connection is used again only if the answer has been read to its end.
		_, _ = io.CopyN(io.Discard, response.Body, maxRest)
		_ = response.Body.Close()
	}()
	if err = statusError(response.StatusCode); err != nil || result == nil {
		return err
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(result)
}

// maxRest is the greatest number of bytes that are read after an answer.
const maxRest = 4 << 10

// maxAnswer is the greatest size of an answer in bytes: a list of records in base64.
const maxAnswer = 64 * MaxValueSize

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrConflict
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusTooManyRequests:
		return ErrThrottled
	default:
		return fmt.Errorf("service answered with status %d", status)
	}
}
