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

	"github.com/comfreyrail/comfreyrail/rail/limit"
)

// Paths of the HTTP interface of the platform's store.
const (
	// PathKeys is the prefix of the path of each key, which serves GET, PUT and DELETE.
	PathKeys = "/v1/keys/"
	// PathList is the path at which GET returns the records whose keys have a prefix.
	PathList = "/v1/list"
	// PathWatch is the prefix of the path at which GET waits for a change of a key.
	PathWatch = "/v1/watch/"
	// PathLeases is the path at which POST creates a lease, and the parent of the paths of the leases.
	PathLeases = "/v1/leases"
	// PathInstances is the path at which GET returns the platform's list of instances and backend servers, which lags behind
	// their actual state.
	PathInstances = "/v1/instances"
)

// MaxValueSize is the maximum size of a value in bytes.
const MaxValueSize = 1 << 20

// Record is a key with its value and version.
type Record struct {
	// Key identifies the record.
	Key string `json:"key"`
	// Value is the content of the record.
	Value []byte `json:"value"`
	// Version is the version of the record's last write; it grows with every write to the store and is never reused.
	Version uint64 `json:"version"`
	// Lease is the lease that the record belongs to, zero for none.
	Lease uint64 `json:"lease,omitempty"`
}

// Put is a write of a record on the condition that it has an expected version.
type Put struct {
	// Value is the new content.
	Value []byte `json:"value"`
	// Expect is the version that the record must have; zero means that it must not exist.
	Expect uint64 `json:"expect"`
	// Lease is the lease at whose end the record is deleted, zero for none.
	Lease uint64 `json:"lease,omitempty"`
	// TTL is the time after which the record is deleted unless it is written again, zero for no limit.
	TTL time.Duration `json:"ttl,omitempty"`
}

// Lease is a lease that the store has granted.
type Lease struct {
	// ID identifies the lease and is a fencing token: later leases have greater IDs.
	ID uint64 `json:"id"`
	// TTL is the time after which the lease expires unless it is renewed.
	TTL time.Duration `json:"ttl"`
}

// ListEntry is one entry of the platform's list of instances and backend servers, which lags behind their actual state.
type ListEntry struct {
	// Name identifies the instance or backend server.
	Name string `json:"name"`
	// Leaving reports whether the instance or backend server will stop soon.
	Leaving bool `json:"leaving"`
}

// Errors for responses of the store; after any other error, the effect of a write is unknown.
const (
	// ErrConflict is the error if the record did not have the expected version; nothing was written.
	ErrConflict = errors.ConstError("version conflict")
	// ErrNotFound is the error if the key or lease does not exist; nothing was written.
	ErrNotFound = errors.ConstError("not found")
	// ErrThrottled is the error if the store refused the call because of the call rate; nothing was written.
	ErrThrottled = errors.ConstError("call rate exceeded")
)

// Client is a client of the platform's store; its methods may be called concurrently.
type Client struct {
	// Address is the host and port of the store.
	Address string
	// HTTP is the HTTP client for the calls; nil selects one that is shared by all Clients without their own.
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

// Delete deletes the record if it has the expected version.
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

// Watch waits until the record's version exceeds after and returns the record, or ErrNotFound if wait passes first.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (record Record, err error) {
	defer errors.DeferredAnnotatef(&err, "watch %q", key)
	path := fmt.Sprintf("%s%s?after=%d&wait=%s", PathWatch, url.PathEscape(key), after, wait)
	err = c.call(ctx, http.MethodGet, path, nil, &record)
	return record, err
}

// Grant creates a lease that expires after ttl unless it is renewed.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (lease Lease, err error) {
	defer errors.DeferredAnnotatef(&err, "grant lease")
	err = c.call(ctx, http.MethodPost, PathLeases, Lease{TTL: ttl}, &lease)
	return lease, err
}

// Renew restarts the time to live of a lease. It returns ErrNotFound if the lease has ended.
func (c *Client) Renew(ctx context.Context, id uint64) (err error) {
	defer errors.DeferredAnnotatef(&err, "renew lease %d", id)
	return c.call(ctx, http.MethodPost, fmt.Sprintf("%s/%d", PathLeases, id), nil, nil)
}

// Revoke ends a lease and deletes its records.
func (c *Client) Revoke(ctx context.Context, id uint64) (err error) {
	defer errors.DeferredAnnotatef(&err, "revoke lease %d", id)
	return c.call(ctx, http.MethodDelete, fmt.Sprintf("%s/%d", PathLeases, id), nil, nil)
}

// Instances returns the platform's list of instances and backend servers, which lags behind their actual state.
func (c *Client) Instances(ctx context.Context) (instances []ListEntry, err error) {
	defer errors.DeferredAnnotatef(&err, "list instances")
	err = c.call(ctx, http.MethodGet, PathInstances, nil, &instances)
	return instances, err
}

// maxIdleConns is the maximum number of idle connections to the store that are kept.
const maxIdleConns = 32

// sharedClient is the HTTP client of Clients without their own; it uses no proxy.
//
// The transport repeats a PUT, POST or DELETE only if nothing of it was sent, so it does not carry out a write twice.
var sharedClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: limit.HeadBytes}}

// call makes one call and decodes the response into result, which may be nil.
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
		// A connection is reused only if the response has been read to its end.
		_, _ = io.CopyN(io.Discard, response.Body, maxDiscard)
		_ = response.Body.Close()
	}()
	if err = statusError(response.StatusCode); err != nil || result == nil {
		return err
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxResponseSize)).Decode(result)
}

// maxDiscard is the maximum number of bytes of the rest of a response that are read and discarded.
const maxDiscard = 4 << 10

// maxResponseSize is the maximum size of a response in bytes, which can be a list of records in base64.
const maxResponseSize = 64 * MaxValueSize

// statusError returns the error for the HTTP status of a response, nil if the call succeeded.
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
