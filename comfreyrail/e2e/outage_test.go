package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/member"
)

// TestRestartDuringOutage kills and restarts an instance and adds another while the platform's store is unavailable. It guards
// against instances that need the store to start: both must get the tables from their peers and serve requests. After the
// outage every instance must be a member with the generation in force.
func TestRestartDuringOutage(t *testing.T) {
	f := newFleet(t, "comfreyrail", "comfreyctl")
	tables := f.startBackends(func(_ string, next http.Handler) http.Handler { return next })
	first, second := f.add("a"), f.add("b")
	f.apply(tables)

	f.setOutage(true)
	if err := second.command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = second.command.Wait()
	f.start(second)
	third := f.add("c")
	for _, inst := range []*instance{second, third} {
		f.eventually(inst.name+" is ready during the outage", func() bool { return f.get(inst, "/ready") == http.StatusOK })
		response, err := http.Post("http://"+inst.callerAddress+"/holds/1", "text/plain", strings.NewReader("hold"))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if got, want := response.Header.Get("Comfrey-Outcome"), "done"; got != want {
			t.Errorf("outcome at %s during the outage = %q, want %q", inst.name, got, want)
		}
	}

	f.setOutage(false)
	f.eventually("every instance is a member after the outage", func() bool { return f.countInForce(first, 1) == len(f.instances) })
}

// countInForce returns the number of members that have the generation in force, as reported by the instance.
func (f *fleet) countInForce(inst *instance, generation uint64) (count int) {
	response, err := http.Get("http://" + inst.adminAddress + "/status")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var status struct{ Members []member.Member }
	if err = json.NewDecoder(response.Body).Decode(&status); err != nil {
		f.t.Fatal(err)
	}
	for _, one := range status.Members {
		if one.Generation == generation {
			count++
		}
	}
	return count
}

// setOutage starts or ends an outage of the platform's store for all instances, including those added later.
func (f *fleet) setOutage(outage bool) {
	f.outage = outage
	for _, inst := range f.instances {
		inst.platformProxy.outage.Store(outage)
	}
}
