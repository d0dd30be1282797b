package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/member"
)

// TestRestartDuringOutage restarts processes and adds one while the platform's service is out.
func TestRestartDuringOutage(t *testing.T) {
	f := newFleet(t, "comfreyrail", "comfreyctl")
	tables := f.tables(func(_ string, next http.Handler) http.Handler { return next })
	first, second := f.add("a"), f.add("b")
	f.apply(tables)

	f.shut(true)
	if err := second.command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = second.command.Wait()
	f.start(second)
	third := f.add("c")
	for _, p := range []*process{second, third} {
		f.eventually(p.name+" is ready during the outage", func() bool { return f.get(p, "/ready") == http.StatusOK })
		response, err := http.Post("http://"+p.caller+"/holds/1", "text/plain", strings.NewReader("hold"))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if got, want := response.Header.Get("Comfrey-Outcome"), "done"; got != want {
			t.Errorf("outcome at %s during the outage = %q, want %q", p.name, got, want)
		}
	}

	f.shut(false)
	f.eventually("every instance is a member after the outage", func() bool { return f.inForce(first, 1) == len(f.processes) })
}

// inForce returns at how many members the process sees the generation in force.
func (f *fleet) inForce(p *process, generation uint64) (count int) {
	response, err := http.Get("http://" + p.admin + "/status")
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

// shut takes the platform's service away from all processes, those added later too, or gives it back.
func (f *fleet) shut(shut bool) {
	f.out = shut
	for _, p := range f.processes {
		p.gate.shut.Store(shut)
	}
}
