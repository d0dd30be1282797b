package peer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/fake/freeport"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// newPair returns a client and the record of a server that has the handlers.
func newPair(t testing.TB, handlers map[Kind]Handler) (*Transport, member.Member) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	identities := make([]Identity, 2)
	for i, name := range []string{"client", "server"} {
		identity, err := NewIdentity(name, "")
		if err != nil {
			t.Fatal(err)
		}
		identities[i] = identity
	}
	address := freeport.UDP()
	server := New(Config{
		Listen: address, Identity: identities[1], Log: log,
		Resolve: func(context.Context, string, string) (member.Member, error) {
			return member.Member{Name: "client", Epoch: 1}, nil
		},
	})
	for kind, handler := range handlers {
		server.Handle(kind, handler)
	}
	go func() { _ = server.Serve(t.Context()) }()
	time.Sleep(100 * time.Millisecond)
	client := New(Config{Identity: identities[0], Log: log})
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
