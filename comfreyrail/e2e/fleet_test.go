package e2e

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/comfreyrail/comfreyrail/rail/fake/fakeengine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakekv"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeservice"
	"github.com/comfreyrail/comfreyrail/rail/fake/freeport"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// layers is the number of layers of the model in the tests.
const layers = 6

// waitTimeout is the time after which a condition that is still false fails the test.
const waitTimeout = 30 * time.Second

// outageProxy passes calls on to the platform's store, or aborts them during an outage.
type outageProxy struct {
	handler http.Handler
	outage  atomic.Bool
}

// ServeHTTP serves one call.
func (p *outageProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.outage.Load() {
		panic(http.ErrAbortHandler)
	}
	p.handler.ServeHTTP(w, r)
}

// instance is a comfreyrail process with its own proxy to the platform's store.
type instance struct {
	name, callerAddress, adminAddress, peerAddress, settingsPath string
	platformProxy                                                *outageProxy
	command                                                      *exec.Cmd
	log                                                          bytes.Buffer
}

// fleet is a set of instances and the stand-ins that they use, which run in the process of the test.
type fleet struct {
	t                *testing.T
	dir              string
	platform         *fakekv.Server
	engines          []*fakeengine.Server
	services         []*fakeservice.Server
	serviceAddresses []string
	instances        []*instance
	// outage reports whether the platform's store is unavailable to instances that are added.
	outage bool
}

// newFleet builds the programs and returns a fleet without instances.
func newFleet(t *testing.T, programs ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), platform: fakekv.New(fakekv.Config{ListLag: time.Second})}
	arguments := []string{"build", "-o", f.dir}
	for _, program := range programs {
		arguments = append(arguments, "github.com/comfreyrail/comfreyrail/"+program)
	}
	if output, err := exec.CommandContext(t.Context(), "go", arguments...).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return f
}

// serve starts an HTTP server for the handler until the end of the test and returns its address.
func (f *fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// startBackends starts two engines for each of three stages and two plain services whose handlers are wrapped by wrap. It
// returns tables that route to them.
func (f *fleet) startBackends(wrap func(name string, next http.Handler) http.Handler) table.Tables {
	model := table.Pool{Name: "exhibit", Kind: table.ModelPool, Layers: layers}
	for n := range 6 {
		name, first := fmt.Sprintf("engine%d", n), n/2*2
		engine := fakeengine.New(fakeengine.Config{
			Name: name, First: first, Last: first + 2, Version: "v1", LayerTime: 200 * time.Microsecond, Slots: 16, LoadLag: time.Second,
		})
		f.t.Cleanup(engine.Close)
		f.engines = append(f.engines, engine)
		model.Servers = append(model.Servers, table.Server{Name: name, Address: f.serve(engine), Zone: "a"})
	}
	plain := table.Pool{Name: "booking", Kind: table.PlainPool}
	for n := range 2 {
		name := fmt.Sprintf("plain%d", n)
		service := fakeservice.New(fakeservice.Config{Name: name})
		f.services = append(f.services, service)
		address := f.serve(wrap(name, service))
		f.serviceAddresses = append(f.serviceAddresses, address)
		plain.Servers = append(plain.Servers, table.Server{Name: name, Address: address, Zone: "a"})
	}
	return table.Tables{
		Routes: []table.Route{{Name: "exhibit", Model: "exhibit", Pool: "exhibit"}, {Name: "holds", Prefix: "/holds", Pool: "booking"}},
		Pools:  []table.Pool{model, plain},
	}
}

// add starts an instance in the availability zone.
func (f *fleet) add(zone string) *instance {
	f.t.Helper()
	inst := &instance{
		name: fmt.Sprintf("instance%d", len(f.instances)), callerAddress: freeport.TCP(), adminAddress: freeport.TCP(), peerAddress: freeport.UDP(),
		platformProxy: &outageProxy{handler: f.platform},
	}
	inst.platformProxy.outage.Store(f.outage)
	inst.settingsPath = filepath.Join(f.dir, inst.name+".toml")
	content := fmt.Sprintf(`name = %q
zone = %q
[caller]
listen = %q
[admin]
listen = %q
[peer]
listen = %q
secret = "a secret of the whole fleet"
seeds = [%s]
[platform]
address = %q
[list]
lag = "3s"
[stop]
lag = "2s"
idle = "500ms"
`, inst.name, zone, inst.callerAddress, inst.adminAddress, inst.peerAddress, f.seeds(), f.serve(inst.platformProxy))
	if err := os.WriteFile(inst.settingsPath, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.instances = append(f.instances, inst)
	f.start(inst)
	f.t.Cleanup(func() {
		_ = inst.command.Process.Kill()
		_ = inst.command.Wait()
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", inst.name, inst.log.String())
		}
	})
	return inst
}

// seeds returns the peer addresses of the instances added so far, formatted for a settings file.
func (f *fleet) seeds() string {
	quoted := make([]string, 0, len(f.instances))
	for _, inst := range f.instances {
		quoted = append(quoted, strconv.Quote(inst.peerAddress))
	}
	return strings.Join(quoted, ", ")
}

func (f *fleet) start(inst *instance) {
	f.t.Helper()
	inst.command = exec.Command(filepath.Join(f.dir, "comfreyrail"), "run", "--settings", inst.settingsPath)
	inst.command.Stderr = &inst.log
	if err := inst.command.Start(); err != nil {
		f.t.Fatal(err)
	}
}

// stop stops an instance with SIGTERM and returns its exit code.
func (f *fleet) stop(inst *instance) int {
	f.t.Helper()
	if err := inst.command.Process.Signal(syscall.SIGTERM); err != nil {
		f.t.Fatal(err)
	}
	_ = inst.command.Wait()
	return inst.command.ProcessState.ExitCode()
}

// apply applies the tables with comfreyctl and waits until every instance is ready.
func (f *fleet) apply(tables table.Tables) {
	f.t.Helper()
	for _, inst := range f.instances {
		f.eventually(inst.name+" responds at the admin interface", func() bool { return f.get(inst, "/status") != 0 })
	}
	content, err := toml.Marshal(tables)
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.dir, "tables.toml")
	if err = os.WriteFile(path, content, 0o600); err != nil {
		f.t.Fatal(err)
	}
	command := exec.Command(filepath.Join(f.dir, "comfreyctl"), "--address", f.instances[0].adminAddress, "apply", path)
	if output, err := command.CombinedOutput(); err != nil {
		f.t.Fatalf("apply: %v\n%s", err, output)
	}
	for _, inst := range f.instances {
		f.eventually(inst.name+" is ready", func() bool { return f.get(inst, "/ready") == http.StatusOK })
	}
}

// get sends a request to the admin interface and returns the status code, or zero if there is no response.
func (f *fleet) get(inst *instance, path string) int {
	response, err := http.Get("http://" + inst.adminAddress + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// eventually waits until the condition is satisfied, and fails the test after waitTimeout.
func (f *fleet) eventually(condition string, satisfied func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !satisfied(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s: not satisfied within %s", condition, waitTimeout)
		}
	}
}
