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
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeplatform"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeservice"
	"github.com/comfreyrail/comfreyrail/rail/fake/freeport"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// layers is the number of layers of the model of the tests.
const layers = 6

// patience is the time after which something that does not happen fails a test.
const patience = 30 * time.Second

// gate passes calls to the platform's service on until it is shut.
type gate struct {
	handler http.Handler
	shut    atomic.Bool
}

// ServeHTTP answers one call.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.shut.Load() {
		panic(http.ErrAbortHandler)
	}
	g.handler.ServeHTTP(w, r)
}

// process is one comfreyrail process.
type process struct {
	name, caller, admin, peer, settings string
	gate                                *gate
	command                             *exec.Cmd
	log                                 bytes.Buffer
}

// fleet is a set of processes before stand-ins in the test's own process.
type fleet struct {
	t         *testing.T
	bin       string
	platform  *fakeplatform.Server
	engines   []*fakeengine.Server
	services  []*fakeservice.Server
	addresses []string
	processes []*process
	// out tells that the platform's service is out for processes added from now on.
	out bool
}

func newFleet(t *testing.T, programs ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, bin: t.TempDir(), platform: fakeplatform.New(fakeplatform.Config{InstanceLag: time.Second})}
	arguments := []string{"build", "-o", f.bin}
	for _, program := range programs {
		arguments = append(arguments, "github.com/comfreyrail/comfreyrail/"+program)
	}
	if output, err := exec.CommandContext(t.Context(), "go", arguments...).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return f
}

func (f *fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// tables starts two engines for each of three stages and two plain services behind wrap, and returns tables of them.
func (f *fleet) tables(wrap func(name string, next http.Handler) http.Handler) table.Tables {
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
		f.addresses = append(f.addresses, address)
		plain.Servers = append(plain.Servers, table.Server{Name: name, Address: address, Zone: "a"})
	}
	return table.Tables{
		Routes: []table.Route{{Name: "exhibit", Model: "exhibit", Pool: "exhibit"}, {Name: "holds", Prefix: "/holds", Pool: "booking"}},
		Pools:  []table.Pool{model, plain},
	}
}

// add starts a process in an availability zone.
func (f *fleet) add(zone string) *process {
	f.t.Helper()
	p := &process{
		name: fmt.Sprintf("instance%d", len(f.processes)), caller: freeport.TCP(), admin: freeport.TCP(), peer: freeport.UDP(),
		gate: &gate{handler: f.platform},
	}
	p.gate.shut.Store(f.out)
	p.settings = filepath.Join(f.bin, p.name+".toml")
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
`, p.name, zone, p.caller, p.admin, p.peer, f.seeds(), f.serve(p.gate))
	if err := os.WriteFile(p.settings, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.processes = append(f.processes, p)
	f.start(p)
	f.t.Cleanup(func() {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", p.name, p.log.String())
		}
	})
	return p
}

// seeds returns the peer addresses of the processes added so far, as a settings file lists them.
func (f *fleet) seeds() string {
	quoted := make([]string, 0, len(f.processes))
	for _, p := range f.processes {
		quoted = append(quoted, strconv.Quote(p.peer))
	}
	return strings.Join(quoted, ", ")
}

func (f *fleet) start(p *process) {
	f.t.Helper()
	p.command = exec.Command(filepath.Join(f.bin, "comfreyrail"), "run", "--settings", p.settings)
	p.command.Stderr = &p.log
	if err := p.command.Start(); err != nil {
		f.t.Fatal(err)
	}
}

// stop asks a process to stop and returns its exit code.
func (f *fleet) stop(p *process) int {
	f.t.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		f.t.Fatal(err)
	}
	_ = p.command.Wait()
	return p.command.ProcessState.ExitCode()
}

// apply puts the tables in force at every process.
func (f *fleet) apply(tables table.Tables) {
	f.t.Helper()
	for _, p := range f.processes {
		f.eventually(p.name+" answers operators", func() bool { return f.get(p, "/status") != 0 })
	}
	content, err := toml.Marshal(tables)
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.bin, "tables.toml")
	if err = os.WriteFile(path, content, 0o600); err != nil {
		f.t.Fatal(err)
	}
	command := exec.Command(filepath.Join(f.bin, "comfreyctl"), "--address", f.processes[0].admin, "apply", path)
	if output, err := command.CombinedOutput(); err != nil {
		f.t.Fatalf("apply: %v\n%s", err, output)
	}
	for _, p := range f.processes {
		f.eventually(p.name+" is ready", func() bool { return f.get(p, "/ready") == http.StatusOK })
	}
}

// get returns the status of an answer of a process to operators, zero if there is none.
func (f *fleet) get(p *process, path string) int {
	response, err := http.Get("http://" + p.admin + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s: not within %s", what, patience)
		}
	}
}
