package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/fake/freeport"
)

// instance is a process that runs the subcommand gateway and is restarted whenever it exits.
type instance struct {
	name, program, settingsPath, callerAddress string
	logFile                                    *os.File
	storeProxy                                 *proxy
	starting                                   func() // called before each start of the process

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
	exits   []time.Time
}

// newInstance writes the settings file of an instance into dir and starts the instance, with a proxy between it and the store. It
// calls starting before each start of the process.
func newInstance(ctx context.Context, config Config, dir, name, zone, storeAddress string, starting func()) (i *instance, err error) {
	defer errors.DeferredAnnotatef(&err, "start %s", name)
	storeProxy, err := newProxy(ctx, storeAddress)
	if err != nil {
		return nil, err
	}
	addresses := freeAddresses(3)
	i = &instance{name: name, program: config.Program, settingsPath: filepath.Join(dir, name+".toml"), callerAddress: addresses[0], storeProxy: storeProxy, starting: starting}
	content := fmt.Sprintf("name = %q\nzone = %q\n[listen]\ncaller = %q\nready = %q\npeer = %q\n[store]\naddress = %q\n[repeat]\nratio = 0.5\nburst = 200\n",
		name, zone, addresses[0], addresses[1], addresses[2], storeProxy.address())
	if err = os.WriteFile(i.settingsPath, []byte(content), 0o600); err != nil {
		return nil, err
	}
	if config.LogDir != "" {
		if i.logFile, err = os.Create(filepath.Join(config.LogDir, name+".log")); err != nil {
			return nil, err
		}
	}
	go i.supervise()
	return i, nil
}

// freeAddresses returns different loopback addresses that are free at the time of the call, outside the ephemeral port range.
func freeAddresses(count int) (addresses []string) {
	for range count {
		addresses = append(addresses, freeport.TCP())
	}
	return addresses
}

// restartDelay is the time between the exit of a process and its restart.
const restartDelay = 100 * time.Millisecond

// supervise starts the process and restarts it after each exit, until kill is called.
func (i *instance) supervise() {
	for {
		i.mu.Lock()
		if i.stopped {
			i.mu.Unlock()
			return
		}
		i.command = exec.Command(i.program, "gateway", "--settings", i.settingsPath) //nolint:gosec,noctx // the program under test
		if i.logFile != nil {
			i.command.Stdout, i.command.Stderr = i.logFile, i.logFile
		}
		i.starting()
		err := i.command.Start()
		i.mu.Unlock()
		if err == nil {
			_ = i.command.Wait()
			i.recordExit()
		}
		time.Sleep(restartDelay)
	}
}

func (i *instance) recordExit() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.exits = append(i.exits, time.Now())
}

// signal sends a signal to the process, if it was started.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil && i.command.Process != nil {
		_ = i.command.Process.Signal(sig)
	}
}

// kill kills the process, also if it is suspended, and prevents its restart.
func (i *instance) kill() {
	i.mu.Lock()
	i.stopped = true
	i.mu.Unlock()
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
}
