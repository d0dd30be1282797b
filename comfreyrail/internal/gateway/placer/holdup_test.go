package placer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/clock"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/runclock"
	"github.com/comfreyrail/comfreyrail/platform"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// storeEnv is the name of the variable with the address of the store, which makes the test program run as the process that is stopped.
const storeEnv = "PLACER_TEST_STORE"

func TestMain(m *testing.M) {
	if os.Getenv(storeEnv) == "" {
		os.Exit(m.Run())
	}
	renewOnce(&platform.Store{Address: os.Getenv(storeEnv), HTTP: http.DefaultClient})
}

// renewOnce renews a lease at the store, and prints the error and whether the lease is held.
func renewOnce(client *platform.Store) {
	l := &lease{ttl: time.Minute, config: LeaseConfig{Renew: client.Renew, Elapsed: clock.Monotonic, Clock: runclock.New(runclock.Config{}), Log: logrus.NewEntry(logrus.New())}}
	l.set(store.Lease{ID: 7}, 0)
	err := l.renew(context.Background())
	_, held := l.held()
	fmt.Println(held, err)
}

// Guards against a renewal that the store has confirmed being given up because this process was stopped while the response waited.
func TestRenewalOutlastsStop(t *testing.T) {
	const stopTime = callTimeout + 500*time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	command := exec.CommandContext(ctx, os.Args[0]) //nolint:gosec // the test program itself
	command.Env = append(os.Environ(), storeEnv+"="+listener.Addr().String())
	started, responded := make(chan struct{}), make(chan error, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-started
		responded <- command.Process.Signal(syscall.SIGSTOP)
		w.WriteHeader(http.StatusOK)
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err = command.Start(); err != nil {
		t.Fatal(err)
	}
	close(started)
	defer func() { _ = command.Wait() }()
	if err = <-responded; err != nil {
		t.Fatal(err)
	}
	time.Sleep(stopTime)
	if err = command.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	got, err := bufio.NewReader(output).ReadString('\n')
	if want := "true <nil>\n"; got != want || err != nil {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}
