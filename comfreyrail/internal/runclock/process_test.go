package runclock

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// stoppedEnv is the name of the variable that makes the test program run as the process that is stopped.
const stoppedEnv = "RUNCLOCK_STOPPED"

// Times of the process that is stopped.
const (
	stopTime      = time.Second
	callTimeout   = 500 * time.Millisecond
	noticeTimeout = 20 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(stoppedEnv) == "" {
		os.Exit(m.Run())
	}
	reportAfterStop()
}

// reportAfterStop starts two calls, prints a line, waits until this process has been stopped, and prints how both calls stand.
func reportAfterStop() {
	ordinary, cancelOrdinary := context.WithTimeout(context.Background(), callTimeout)
	defer cancelOrdinary()
	ctx, cancel := New(Config{}).WithTimeout(context.Background(), callTimeout)
	defer cancel()
	last := time.Now()
	fmt.Println("started")
	for ; ; last = time.Now() {
		time.Sleep(5 * time.Millisecond)
		if time.Since(last) > stopTime/2 {
			break
		}
	}
	<-ordinary.Done()
	fmt.Println(ordinary.Err(), ctx.Err())
}

// Guards against calls being given up because the process was stopped by a signal.
func TestTimeoutOutlastsStop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, os.Args[0]) //nolint:gosec // the test program itself
	command.Env = append(os.Environ(), stoppedEnv+"=1")
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err = command.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = command.Wait() }()
	lines := bufio.NewReader(output)
	if _, err = lines.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if err = command.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(stopTime)
	if err = command.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	got, err := lines.ReadString('\n')
	if want := "context deadline exceeded <nil>\n"; got != want || err != nil {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}
