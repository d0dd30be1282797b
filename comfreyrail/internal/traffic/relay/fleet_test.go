package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/controltest"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/peer"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/claims"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/dispatch"
	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakekv"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeservice"
	"github.com/comfreyrail/comfreyrail/rail/fake/freeport"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// fleet is a group of relays that share stand-ins for the platform's store and for a backend server.
type fleet struct {
	t        *testing.T
	platform *fakekv.Server
	service  *fakeservice.Server
	store    *kv.Client
	tables   *table.Tables
	route    table.Route
	log      *logrus.Entry

	mu      sync.Mutex
	members []member.Member
	started int
}

// instance is a running instance under test; stop stops it and removes it from the list of members.
type instance struct {
	*Relay
	stop func()
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fleet{
		t: t, platform: fakekv.New(fakekv.Config{}), service: fakeservice.New(fakeservice.Config{Name: "s"}),
		route: table.Route{Name: "plain", Prefix: "/plain", Pool: "plain"}, log: logrus.NewEntry(log),
	}
	platform, service := httptest.NewServer(f.platform), httptest.NewServer(f.service)
	t.Cleanup(platform.Close)
	t.Cleanup(service.Close)
	f.store = &kv.Client{Address: strings.TrimPrefix(platform.URL, "http://")}
	f.tables = &table.Tables{Generation: 1, Routes: []table.Route{f.route}, Pools: []table.Pool{{
		Name: "plain", Kind: table.PlainPool, Servers: []table.Server{{Name: "s", Address: strings.TrimPrefix(service.URL, "http://"), Zone: "z"}},
	}}}
	return f
}

// start starts an instance and waits until it can use the backend server.
func (f *fleet) start() *instance {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.t.Context())
	checker := &invariant.Checker{Report: func(v *invariant.Violation) { f.t.Error(v) }}
	ctrl := control.New(control.Config{Log: f.log, Checker: checker})
	f.mu.Lock()
	f.started++
	number := f.started
	f.mu.Unlock()
	transport, self := f.newTransport(number)
	instanceClaims := claims.New(claims.Config{
		Owner: self.Incarnation, Store: f.store, Checker: checker, Log: f.log, Members: f.listMembers, Shards: 2,
		QueryOwner: func(ctx context.Context, owner member.Member, query claims.StatusQuery) (status claim.Status, err error) {
			err = transport.Call(ctx, owner, claims.KindStatusQuery, query, &status)
			return status, err
		},
	})
	relay := New(Config{
		Control: ctrl, Dispatcher: dispatch.New(dispatch.Config{Checker: checker}), Claims: instanceClaims,
		Forward: func(ctx context.Context, to member.Member, forwarded ForwardedRequest) (response ForwardedResponse, err error) {
			err = transport.Call(ctx, to, KindForward, forwarded, &response)
			return response, err
		},
	})
	transport.Handle(claims.KindStatusQuery, instanceClaims.ServePeer)
	transport.Handle(KindForward, relay.ServePeer)
	var running sync.WaitGroup
	running.Go(func() { _ = ctrl.Serve(ctx) })
	running.Go(func() { _ = instanceClaims.Serve(ctx) })
	running.Go(func() { _ = transport.Serve(ctx) })
	f.addMember(self, transport)
	if err := controltest.Install(ctx, ctrl, f.tables); err != nil {
		f.t.Fatal(err)
	}
	ctrl.Send(ctx, control.ServerReported{Name: "s", Status: engine.Status{Server: "s"}, At: time.Now()})
	for server := ctrl.Snapshot().Servers["s"]; server == nil || !server.Usable; server = ctrl.Snapshot().Servers["s"] {
		time.Sleep(time.Millisecond)
	}
	stop := func() {
		cancel()
		running.Wait()
		f.removeMember(self.Incarnation)
	}
	f.t.Cleanup(stop)
	return &instance{Relay: relay, stop: stop}
}

func (f *fleet) listMembers() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]member.Member(nil), f.members...)
}

func (f *fleet) removeMember(incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.members {
		if m.Incarnation == incarnation {
			f.members = append(f.members[:i:i], f.members[i+1:]...)
			return
		}
	}
}

// newTransport returns the transport of a new instance, and its member record.
func (f *fleet) newTransport(number int) (*peer.Transport, member.Member) {
	f.t.Helper()
	name := fmt.Sprintf("n%d", number)
	identity, err := peer.NewIdentity(name, "")
	if err != nil {
		f.t.Fatal(err)
	}
	address := freeport.UDP()
	transport := peer.New(peer.Config{Listen: address, Identity: identity, Resolve: f.resolve, Log: f.log})
	transport.Handle(kindPing, func(context.Context, member.Member, []byte) (any, error) { return true, nil })
	return transport, member.Member{Name: name, Incarnation: name, Epoch: uint64(number), Address: address, Fingerprint: identity.Fingerprint}
}

// kindPing is the kind of the call that checks whether an instance listens.
const kindPing peer.Kind = "ping"

// addMember adds an instance to the fleet and waits until it listens.
func (f *fleet) addMember(self member.Member, transport *peer.Transport) {
	f.t.Helper()
	f.mu.Lock()
	f.members = append(f.members, self)
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	for pong := false; !pong; {
		if err := transport.Call(ctx, self, kindPing, struct{}{}, &pong); ctx.Err() != nil {
			f.t.Fatal(err)
		}
	}
}

// resolve returns the member with the name and the fingerprint, in place of a lookup in the records of the instances.
func (f *fleet) resolve(_ context.Context, name, fingerprint string) (member.Member, error) {
	for _, m := range f.listMembers() {
		if m.Name == name && m.Fingerprint == fingerprint {
			return m, nil
		}
	}
	return member.Member{}, fmt.Errorf("no instance %q", name)
}

// callResult is one call of a caller and its result.
type callResult struct {
	id      string
	key     string
	outcome outcome.Outcome
	code    outcome.Code
	message string
	// serviceResult is the decoded response of the backend server, if the outcome is Done.
	serviceResult fakeservice.Result
}

// call makes a call; the backend server counts the runs by id.
func (f *fleet) call(target *instance, id, key, body string) callResult {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	header := http.Header{fakeservice.CallHeader: {id}}
	if key != "" {
		header.Set(KeyHeader, key)
	}
	response, err := target.Run(ctx, Request{
		ID: id, Workspace: "w", Route: f.route, Method: http.MethodPost, Path: "/plain", Header: header, Body: []byte(body),
	})
	result := callResult{id: id, key: key, outcome: outcome.Done}
	if err != nil {
		failure := outcome.FromError(err)
		result.outcome, result.code, result.message = failure.Outcome, failure.Code, failure.Message
		return result
	}
	if err = json.Unmarshal(response.Body, &result.serviceResult); err != nil {
		f.t.Errorf("got response %q of call %s, want a result", response.Body, id)
	}
	return result
}

// verifyCalls compares the outcomes of calls, and the number of their runs, with the expected ones.
func (f *fleet) verifyCalls(calls []callResult, outcomes []outcome.Outcome, runs int) {
	f.t.Helper()
	for i, call := range calls {
		if got, want := call.outcome, outcomes[i]; got != want {
			f.t.Errorf("got outcome %q (%s) of call %s, want %q", got, call.code, call.id, want)
		}
	}
	if got, want := f.verifyRuns(calls), runs; got != want {
		f.t.Errorf("got %d runs, want %d", got, want)
	}
}

// verifyRuns compares the results of the calls with the runs that the backend server counted, and returns the number of runs.
func (f *fleet) verifyRuns(results []callResult) (runs int) {
	f.t.Helper()
	byKey := make(map[string]int)
	for _, result := range results {
		count := f.service.Runs(result.id)
		runs += count
		byKey[result.key] += count
		if result.outcome == outcome.NotRun && count != 0 {
			f.t.Errorf("call %s has the outcome not run, but ran %d times", result.id, count)
		}
		if result.outcome == outcome.Done && f.service.Runs(result.serviceResult.Call) != 1 {
			f.t.Errorf("call %s has the response of call %s, which ran %d times, want 1", result.id, result.serviceResult.Call, f.service.Runs(result.serviceResult.Call))
		}
	}
	for key, count := range byKey {
		if key != "" && count > 1 {
			f.t.Errorf("got %d runs of key %s, want at most 1", count, key)
		}
	}
	return runs
}
