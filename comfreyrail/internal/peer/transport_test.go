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

// guestKind is the kind that guests may ask for.
const guestKind Kind = "guest"

// resolver returns the record of an instance.
type resolver func(ctx context.Context, name, fingerprint string) (member.Member, error)

// newPair returns a client and the record of a server that has the handlers.
func newPair(t testing.TB, handlers map[Kind]Handler) (*Transport, member.Member) {
	t.Helper()
	resolve := func(context.Context, string, string) (member.Member, error) {
		return member.Member{Name: "client", Epoch: 1}, nil
	}
	return newSecretPair(t, "", resolve, handlers)
}

// newSecretPair returns a client and the record of a server that share the secret.
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

func TestTimeoutLeavesOtherCalls(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	client, server := newPair(t, map[Kind]Handler{
		"slow": func(context.Context, member.Member, []byte) (any, error) {
			close(begun)
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
		var answer bool
		slow <- client.Call(t.Context(), server, "slow", struct{}{}, &answer)
	}()
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var answer bool
	if err := client.Call(ctx, server, "stuck", struct{}{}, &answer); err == nil {
		t.Error("the stuck call got an answer, want an error")
	}
	client.mu.Lock()
	got, want := len(client.connections), 0
	client.mu.Unlock()
	if got != want {
		t.Errorf("connections kept for new calls after a timeout = %d, want %d", got, want)
	}
	close(release)
	if err := <-slow; err != nil {
		t.Errorf("the other call on the connection got %v, want its answer", err)
	}
}

// TestGuest calls while the record of the client cannot be read, because the platform's service hangs, and afterwards.
func TestGuest(t *testing.T) {
	var out atomic.Bool
	out.Store(true)
	resolve := func(ctx context.Context, _, _ string) (member.Member, error) {
		if !out.Load() {
			return member.Member{Name: "client", Epoch: 1}, nil
		}
		<-ctx.Done()
		return member.Member{}, ctx.Err()
	}
	answer := func(context.Context, member.Member, []byte) (any, error) { return true, nil }
	client, server := newSecretPair(t, "sixteen letters.", resolve, map[Kind]Handler{guestKind: answer, "member": answer})
	seed := member.Member{Name: server.Address, Address: server.Address}
	stranger, _ := newSecretPair(t, "another secret..", resolve, nil)
	tests := []struct {
		name   string
		caller *Transport
		to     member.Member
		kind   Kind
		out    bool
		want   bool
	}{
		{"a guest asks for what guests may have", client, seed, guestKind, true, true},
		{"a guest asks for more", client, seed, "member", true, false},
		{"another secret", stranger, seed, guestKind, true, false},
		{"the record can be read", client, seed, "member", false, true},
	}
	for _, test := range tests {
		out.Store(test.out)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		var got bool
		err := test.caller.Call(ctx, test.to, test.kind, struct{}{}, &got)
		cancel()
		if got != test.want || (err == nil) != test.want {
			t.Errorf("%s: got answer %v and error %v, want an answer: %v", test.name, got, err, test.want)
		}
	}
}
