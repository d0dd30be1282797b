package e2e

import (
	"net/http"
	"testing"
)

// TestRollingRestart restarts every instance under load from callers with keep-alive connections. It guards against requests
// that fail during a graceful shutdown.
func TestRollingRestart(t *testing.T) {
	f := newFleet(t, "comfreyrail", "comfreyctl", "railload")
	tables := f.startBackends(func(_ string, next http.Handler) http.Handler { return next })
	for _, zone := range []string{"a", "b", "c"} {
		f.add(zone)
	}
	f.apply(tables)
	wait := f.startLoad("--rate", "60", "--time", "20s", "--keyed", "0.2")
	for _, inst := range f.instances {
		if code := f.stop(inst); code != 0 {
			t.Errorf("%s exits with code %d, want 0", inst.name, code)
		}
		f.start(inst)
		f.eventually(inst.name+" is ready again", func() bool { return f.get(inst, "/ready") == http.StatusOK })
	}
	wait()
}
