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
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/fakecontrol"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/peer"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/claims"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/dispatch"
	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeplatform"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeservice"
	"github.com/comfreyrail/comfreyrail/rail/fake/freeport"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// fleet is several relays that share a platform's service and a backend server.
type fleet struct {
	t        *testing.T
	platform *fakeplatform.Server
	service  *fakeservice.Server
	store    *kv.Client
	tables   *table.Tables
	route    table.Route
	log      *logrus.Entry

	mu      sync.Mutex
	members []member.Member
	born    int
}

// node is one incarnation.
type node struct {
	*Relay
	stop func()
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fleet{
		t: t, platform: fakeplatform.New(fakeplatform.Config{}), service: fakeservice.New(fakeservice.Config{Name: "s"}),
		route: table.Route{Name: "handles", Prefix: "/handles", Pool: "handles"}, log: logrus.NewEntry(log),
	}
	platform, service := httptest.NewServer(f.platform), httptest.NewServer(f.service)
	t.Cleanup(platform.Close)
	t.Cleanup(service.Close)
	f.store = &kv.Client{Address: strings.TrimPrefix(platform.URL, "http://")}
	f.tables = &table.Tables{Generation: 1, Routes: []table.Route{f.route}, Pools: []table.Pool{{
		Name: "handles", Kind: table.PlainPool, Servers: []table.Server{{Name: "s", Address: strings.TrimPrefix(service.URL, "http://"), Zone: "z"}},
	}}}
	return f
}

// start starts an instance.
func (f *fleet) start() *node {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.t.Context())
	checker := &invariant.Checker{Report: func(v *invariant.Violation) { f.t.Error(v) }}
	state := control.New(control.Config{Log: f.log, Checker: checker})
	f.mu.Lock()
	f.born++
	born := f.born
	f.mu.Unlock()
	transport, self := f.connect(born)
	kept := claims.New(claims.Config{
		Owner: self.Incarnation, Store: f.store, Checker: checker, Log: f.log, Members: f.list, Shards: 2,
		QueryOwner: func(ctx context.Context, owner member.Member, question claims.StatusQuery) (answer claim.Status, err error) {
			err = transport.Call(ctx, owner, claims.KindStatusQuery, question, &answer)
			return answer, err
		},
	})
	relayed := New(Config{
		Control: state, Dispatcher: dispatch.New(dispatch.Config{Checker: checker}), Claims: kept,
		Forward: func(ctx context.Context, to member.Member, forwarded ForwardedRequest) (reply Reply, err error) {
			err = transport.Call(ctx, to, KindForward, forwarded, &reply)
			return reply, err
		},
	})
	transport.Handle(claims.KindStatusQuery, kept.ServePeer)
	transport.Handle(KindForward, relayed.ServePeer)
	var running sync.WaitGroup
	running.Go(func() { _ = state.Serve(ctx) })
	running.Go(func() { _ = kept.Serve(ctx) })
	running.Go(func() { _ = transport.Serve(ctx) })
	f.join(self, transport)
	if err := fakecontrol.Install(ctx, state, f.tables); err != nil {
		f.t.Fatal(err)
	}
	state.Send(ctx, control.ServerReported{Name: "s", Status: engine.Status{Server: "s"}, At: time.Now()})
	for server := state.Snapshot().Servers["s"]; server == nil || !server.Usable; server = state.Snapshot().Servers["s"] {
		time.Sleep(time.Millisecond)
	}
	stop := func() {
		cancel()
		running.Wait()
		f.remove(self.Incarnation)
	}
	f.t.Cleanup(stop)
	return &node{Relay: relayed, stop: stop}
}

func (f *fleet) list() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]member.Member(nil), f.members...)
}

func (f *fleet) remove(incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, one := range f.members {
		if one.Incarnation == incarnation {
			f.members = append(f.members[:i:i], f.members[i+1:]...)
			return
		}
	}
}

// connect returns the transport of a new instance, and its record.
func (f *fleet) connect(born int) (*peer.Transport, member.Member) {
	f.t.Helper()
	name := fmt.Sprintf("n%d", born)
	identity, err := peer.NewIdentity(name, "")
	if err != nil {
		f.t.Fatal(err)
	}
	address := freeport.UDP()
	transport := peer.New(peer.Config{Listen: address, Identity: identity, Resolve: f.resolve, Log: f.log})
	transport.Handle(kindPing, func(context.Context, member.Member, []byte) (any, error) { return true, nil })
	return transport, member.Member{Name: name, Incarnation: name, Epoch: uint64(born), Address: address, Fingerprint: identity.Fingerprint}
}

// kindPing is the kind of a call that shows that an instance listens.
const kindPing peer.Kind = "ping"

// join adds an instance to the fleet once it listens.
func (f *fleet) join(self member.Member, transport *peer.Transport) {
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

// resolve stands for the records of the instances.
func (f *fleet) resolve(_ context.Context, name, fingerprint string) (member.Member, error) {
	for _, one := range f.list() {
		if one.Name == name && one.Fingerprint == fingerprint {
			return one, nil
		}
	}
	return member.Member{}, fmt.Errorf("no instance %q", name)
}

// call is one call of a caller and what it was told.
type call struct {
	id      string
	key     string
	outcome outcome.Outcome
	code    outcome.Code
	message string
	server  fakeservice.Result
}

// call makes a call; id tells the calls apart when the backend server counts runs.
func (f *fleet) call(at *node, id, key, body string) call {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	header := http.Header{fakeservice.CallHeader: {id}}
	if key != "" {
		header.Set(KeyHeader, key)
	}
	answer, err := at.Run(ctx, Request{
		ID: id, Workspace: "w", Route: f.route, Method: http.MethodPost, Path: "/handles", Header: header, Body: []byte(body),
	})
	made := call{id: id, key: key, outcome: outcome.Done}
	if err != nil {
		failure := outcome.FromError(err)
		made.outcome, made.code, made.message = failure.Outcome, failure.Code, failure.Message
		return made
	}
	if err = json.Unmarshal(answer.Body, &made.server); err != nil {
		f.t.Errorf("got answer %q of call %s, want a result", answer.Body, id)
	}
	return made
}

// check compares what callers were told with the runs that the backend server counted.
func (f *fleet) check(calls []call) (runs int) {
	f.t.Helper()
	byKey := make(map[string]int)
	for _, made := range calls {
		count := f.service.Runs(made.id)
		runs += count
		byKey[made.key] += count
		if made.outcome == outcome.NotRun && count != 0 {
			f.t.Errorf("got call %s told not run, which ran %d times", made.id, count)
		}
		if made.outcome == outcome.Done && f.service.Runs(made.server.Call) != 1 {
			f.t.Errorf("got call %s told done by %s, which ran %d times", made.id, made.server.Call, f.service.Runs(made.server.Call))
		}
	}
	for key, count := range byKey {
		if key != "" && count > 1 {
			f.t.Errorf("got %d runs of key %s, want at most 1", count, key)
		}
	}
	return runs
}
