package peer

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/fake/freeport"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// guestKind is a kind that guests may call.
const guestKind Kind = "guest"

// resolver has the type of Config.Resolve.
type resolver func(ctx context.Context, name, fingerprint string) (member.Member, error)

// newPair starts a server with the handlers and returns a client and the record of the server.
func newPair(t testing.TB, handlers map[Kind]Handler) (*Transport, member.Member) {
	t.Helper()
	resolve := func(context.Context, string, string) (member.Member, error) {
		return member.Member{Name: "client", Epoch: 1}, nil
	}
	return newSecretPair(t, "", resolve, handlers)
}

// newSecretPair is like newPair with a secret that client and server share, and with resolve as the server's Config.Resolve.
func newSecretPair(t testing.TB, secret string, resolve resolver, handlers map[Kind]Handler) (*Transport, member.Member) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	identities := make([]Identity, 2)
	for i, name := range []string{"client", "server"} {
		identity, err := NewIdentity(name, secret)
		if err != nil {
			t.Fatal(err)
		}
		identities[i] = identity
	}
	address := freeport.UDP()
	server := New(Config{
		Listen: address, Identity: identities[1], Log: log, Resolve: resolve, Secret: secret,
	})
	for kind, handler := range handlers {
		if kind == guestKind {
			server.HandleGuests(kind, handler)
			continue
		}
		server.Handle(kind, handler)
	}
	go func() { _ = server.Serve(t.Context()) }()
	time.Sleep(100 * time.Millisecond)
	client := New(Config{Identity: identities[0], Log: log, Secret: secret})
	return client, member.Member{Name: "server", Epoch: 1, Address: address, Fingerprint: identities[1].Fingerprint}
}

// TestTimeoutKeepsOtherCalls guards against a timeout that ends the other calls on the same connection. The connection must not be
// used for new calls, but the calls in progress must complete.
func TestTimeoutKeepsOtherCalls(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	client, server := newPair(t, map[Kind]Handler{
		"slow": func(context.Context, member.Member, []byte) (any, error) {
			close(started)
			<-release
			return true, nil
		},
		"stuck": func(ctx context.Context, _ member.Member, _ []byte) (any, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	slow := make(chan error, 1)
	go func() {
		var resp bool
		slow <- client.Call(t.Context(), server, "slow", struct{}{}, &resp)
	}()
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var resp bool
	if err := client.Call(ctx, server, "stuck", struct{}{}, &resp); err == nil {
		t.Error("stuck call succeeded, want an error")
	}
	client.mu.Lock()
	got, want := len(client.outgoing), 0
	client.mu.Unlock()
	if got != want {
		t.Errorf("connections kept for new calls after a timeout = %d, want %d", got, want)
	}
	close(release)
	if err := <-slow; err != nil {
		t.Errorf("other call on the connection: got error %v, want a response", err)
	}
}

// TestGuest guards against refusing a guest the calls that are open to guests, and against serving it any other call. It makes
// calls while the record of the client cannot be read because the platform's store does not respond, and after it has
// recovered.
func TestGuest(t *testing.T) {
	var outage atomic.Bool
	outage.Store(true)
	resolve := func(ctx context.Context, _, _ string) (member.Member, error) {
		if !outage.Load() {
			return member.Member{Name: "client", Epoch: 1}, nil
		}
		<-ctx.Done()
		return member.Member{}, ctx.Err()
	}
	succeed := func(context.Context, member.Member, []byte) (any, error) { return true, nil }
	client, server := newSecretPair(t, "sixteen letters.", resolve, map[Kind]Handler{guestKind: succeed, "member": succeed})
	unregistered := member.Member{Name: server.Address, Address: server.Address}
	wrongSecret, _ := newSecretPair(t, "another secret..", resolve, nil)
	tests := []struct {
		name   string
		caller *Transport
		to     member.Member
		kind   Kind
		outage bool
		want   bool
	}{
		{"guest calls a kind for guests", client, unregistered, guestKind, true, true},
		{"guest calls another kind", client, unregistered, "member", true, false},
		{"wrong secret", wrongSecret, unregistered, guestKind, true, false},
		{"record available", client, unregistered, "member", false, true},
	}
	for _, test := range tests {
		outage.Store(test.outage)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		var got bool
		err := test.caller.Call(ctx, test.to, test.kind, struct{}{}, &got)
		cancel()
		if got != test.want || (err == nil) != test.want {
			t.Errorf("%s: got response %v and error %v, want a response: %v", test.name, got, err, test.want)
		}
	}
}
