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

// TestStoreIsAskedDirectly redirects a write of the platform's service elsewhere.
func TestStoreIsAskedDirectly(t *testing.T) {
	var elsewhere atomic.Int32
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { elsewhere.Add(1) }))
	defer other.Close()
	service := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer service.Close()
	store := provideStore(settings.Settings{Platform: settings.Platform{Address: service.Listener.Addr().String()}})
	if _, err := store.Put(context.Background(), "key", kv.Put{Value: []byte("value")}); err == nil {
		t.Error("a redirected write succeeded, want an error")
	}
	if got, want := elsewhere.Load(), int32(0); got != want {
		t.Errorf("writes that went elsewhere = %d, want %d", got, want)
	}
	transport, ok := store.HTTP.Transport.(*http.Transport)
	if !ok || transport.Proxy != nil {
		t.Error("calls of the service may go through a proxy, want none")
	}
}
