package process

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
	"github.com/comfreyrail/comfreyrail/rail/kv"
)

// TestStoreNotRedirected guards against sending a write for the platform's store to another address, through a
// redirect or a proxy.
func TestStoreNotRedirected(t *testing.T) {
	var redirected atomic.Int32
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { redirected.Add(1) }))
	defer other.Close()
	service := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer service.Close()
	store := provideStore(settings.Settings{Platform: settings.Platform{Address: service.Listener.Addr().String()}})
	if _, err := store.Put(context.Background(), "key", kv.Put{Value: []byte("value")}); err == nil {
		t.Error("a redirected write succeeded, want an error")
	}
	if got, want := redirected.Load(), int32(0); got != want {
		t.Errorf("redirected writes = %d, want %d", got, want)
	}
	transport, ok := store.HTTP.Transport.(*http.Transport)
	if !ok || transport.Proxy != nil {
		t.Error("calls to the platform's store may go through a proxy, want none")
	}
}
