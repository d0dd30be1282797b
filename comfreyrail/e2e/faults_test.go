package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/fake/fakeengine"
)

// TestSimultaneousFaults guards against requests that fail under simultaneous faults. Under load it simultaneously starts an
// outage of the platform's store, crashes an engine of the first stage and freezes one of the second, and later crashes one of
// the third.
func TestSimultaneousFaults(t *testing.T) {
	f := newFleet(t, "comfreyrail", "comfreyctl", "railload")
	tables := f.startBackends(func(_ string, next http.Handler) http.Handler { return next })
	for _, zone := range []string{"a", "b", "c"} {
		f.add(zone)
	}
	f.apply(tables)
	wait := f.startLoad("--rate", "40", "--time", "9s", "--timeout", "15s")
	time.Sleep(2 * time.Second)
	f.setOutage(true)
	f.engines[0].SetFaults(fakeengine.Faults{Crash: true})
	f.engines[2].SetFaults(fakeengine.Faults{Freeze: true})
	defer f.engines[2].SetFaults(fakeengine.Faults{})
	time.Sleep(3 * time.Second)
	f.engines[4].SetFaults(fakeengine.Faults{Crash: true})
	time.Sleep(2 * time.Second)
	f.setOutage(false)
	wait()
	for _, inst := range f.instances {
		if got, want := f.get(inst, "/ready"), http.StatusOK; got != want {
			t.Errorf("%s: readiness status = %d, want %d", inst.name, got, want)
		}
	}
}
