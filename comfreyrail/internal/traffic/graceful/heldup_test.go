package graceful

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/stop"
)

// heldUpEnv is the environment variable with the address at which the process of the test listens as a server.
const heldUpEnv = "GRACEFUL_TEST_LISTEN"

// heldUpIdleTimeout is the idle timeout of that server.
const heldUpIdleTimeout = 400 * time.Millisecond

// TestMain serves callers in place of running tests if heldUpEnv is set.
func TestMain(m *testing.M) {
	address := os.Getenv(heldUpEnv)
	if address == "" {
		os.Exit(m.Run())
	}
	serveHeldUp(address)
}

// serveHeldUp serves callers until the process is killed.
func serveHeldUp(address string) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	server := New(Config{
		Listen: address, NewHTTPServer: func() *http.Server {
			return &http.Server{ReadHeaderTimeout: 10 * time.Second, IdleTimeout: heldUpIdleTimeout}
		},
		IdleTimeout: func() time.Duration { return heldUpIdleTimeout }, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		TimeoutResponse: []byte(testTimeoutResponse),
		Stop:            stop.Config{Timeout: time.Second}, Log: logrus.NewEntry(logger),
	})
	_ = server.Serve(context.Background())
}

// startHeldUp starts a process that serves callers, and returns it with its address.
func startHeldUp(t *testing.T) (process *os.Process, address string) {
	t.Helper()
	address = freeAddress(t)
	command := exec.Command(os.Args[0]) //nolint:gosec // the test itself
	command.Env = append(os.Environ(), heldUpEnv+"="+address)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close()
			return command.Process, address
		}
	}
	t.Fatal("the server does not listen")
	return nil, ""
}

// keptConn is a caller's connection that has not been idle for longer than since firstSentAt.
type keptConn struct {
	net.Conn

	reader      *bufio.Reader
	firstSentAt time.Time
}

// exchange sends a request and reads its response.
func (c *keptConn) exchange() (err error) {
	c.firstSentAt = time.Now()
	if _, err = io.WriteString(c, testRequest); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// dialKept returns connections to the address on which a request has been served.
func dialKept(t *testing.T, address string, count int) []*keptConn {
	t.Helper()
	conns := make([]*keptConn, count)
	var group sync.WaitGroup
	for i := range conns {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		conns[i] = &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
		group.Go(func() {
			if err := conns[i].exchange(); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	return conns
}

// Guards against requests on kept connections that are reset when a process goes on that was held up while its idle timeout passed:
// each request must be answered, and served if its connection had been idle for less than the timeout when the process was held up.
func TestRequestsToHeldUpProcessAreServed(t *testing.T) {
	process, address := startHeldUp(t)
	conns := dialKept(t, address, 60)
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	heldUpAt := time.Now()
	for _, conn := range conns {
		if _, err := io.WriteString(conn, testRequest); err != nil {
			t.Error(err)
		}
	}
	time.Sleep(2 * heldUpIdleTimeout)
	if err := process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	served, tooLate, unanswered := 0, 0, 0
	for _, conn := range conns {
		response, err := http.ReadResponse(conn.reader, nil)
		if err != nil {
			unanswered++
			t.Log(err)
			continue
		}
		_ = response.Body.Close()
		maxIdle := heldUpAt.Sub(conn.firstSentAt)
		switch {
		case response.StatusCode == http.StatusOK:
			served++
		case response.StatusCode == http.StatusRequestTimeout && maxIdle >= heldUpIdleTimeout:
			tooLate++
		default:
			t.Errorf("got status %d on a connection that was idle for at most %v, want 200", response.StatusCode, maxIdle)
		}
	}
	t.Logf("%d served, %d sent after the idle timeout", served, tooLate)
	if unanswered > 0 {
		t.Errorf("%d of %d requests got no response, want none", unanswered, len(conns))
	}
}
