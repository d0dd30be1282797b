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
)

// instance is one gateway, restarted whenever it ends.
type instance struct {
	name, program, settings, caller string
	log                             *os.File
	store                           *proxy

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
}

// newInstance writes the settings of a gateway and starts it.
func newInstance(ctx context.Context, config Config, folder, name, zone, store string) (i *instance, err error) {
	defer errors.DeferredAnnotatef(&err, "start %s", name)
	link, err := newProxy(ctx, store)
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(ctx, 3)
	if err != nil {
		return nil, err
	}
	i = &instance{name: name, program: config.Program, settings: filepath.Join(folder, name+".toml"), caller: ports[0], store: link}
	content := fmt.Sprintf("name = %q\nzone = %q\n[listen]\ncaller = %q\nready = %q\npeer = %q\n[store]\naddress = %q\n[repeat]\nratio = 0.5\nburst = 200\n",
		name, zone, ports[0], ports[1], ports[2], link.address())
	if err = os.WriteFile(i.settings, []byte(content), 0o600); err != nil {
		return nil, err
	}
	if config.LogDir != "" {
		if i.log, err = os.Create(filepath.Join(config.LogDir, name+".log")); err != nil {
			return nil, err
		}
	}
	go i.run()
	return i, nil
}

// freePorts returns addresses of the loopback that are free now.
func freePorts(ctx context.Context, count int) (addresses []string, err error) {
	for range count {
		listener, err := listen(ctx)
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// restartPause is the time between the end of a process and its next start.
const restartPause = 100 * time.Millisecond

func (i *instance) run() {
	for {
		i.mu.Lock()
		if i.stopped {
			i.mu.Unlock()
			return
		}
		i.command = exec.Command(i.program, "gateway", "--settings", i.settings) //nolint:gosec,noctx // the program under test
		if i.log != nil {
			i.command.Stdout, i.command.Stderr = i.log, i.log
		}
		err := i.command.Start()
		i.mu.Unlock()
		if err == nil {
			_ = i.command.Wait()
		}
		time.Sleep(restartPause)
	}
}

// signal sends a signal to the process, by its id.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil && i.command.Process != nil {
		_ = i.command.Process.Signal(s)
	}
}

// end ends the process for good.
func (i *instance) end() {
	i.mu.Lock()
	i.stopped = true
	i.mu.Unlock()
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
}
