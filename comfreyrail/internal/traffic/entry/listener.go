package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Limits of the listener.
const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Serve listens for callers until the context ends.
func (e *Entry) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "serve callers")
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", e.config.Settings.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: e, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
	go func() {
		<-ctx.Done()
		_ = server.Shutdown(context.WithoutCancel(ctx))
	}()
	if err = server.Serve(listener); errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}
