package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/route"
)

// standstillEnv is the environment variable that makes TestServeForStandstill serve callers.
const standstillEnv = "FORWARD_TEST_STANDSTILL"

// standstillAbandonTime is how long the callers of that gateway wait for an event.
const standstillAbandonTime = 2 * time.Second

// TestServeForStandstill is no test: it is the gateway of TestCallersAreAnsweredDespiteStandstill, which ends with its input.
func TestServeForStandstill(t *testing.T) {
	if os.Getenv(standstillEnv) == "" {
		t.SkipNow()
	}
	silent := func(conn net.Conn, _ *http.Request, _ int) { _, _ = conn.Read(make([]byte, 1)) }
	g := newGateway(t, func(config *route.Config) {
		config.Routes[2].AbandonTime, config.Routes[2].Timeout = standstillAbandonTime, 10*standstillAbandonTime
	}, newServer(t, "one", silent), newServer(t, "two", silent))
	fmt.Println(g.url)
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// startForStandstill starts a process with a gateway whose servers are silent, and returns it with the URL of the gateway.
func startForStandstill(t *testing.T) (process *os.Process, url string) {
	t.Helper()
	command := exec.Command(os.Args[0], "-test.run", "^TestServeForStandstill$") //nolint:gosec // the test itself
	command.Env = append(os.Environ(), standstillEnv+"=1")
	input, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err = command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = input.Close()
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return command.Process, strings.TrimSpace(line)
}

// askBeforeAbandonTime sends a request and reports whether a response begins before the caller leaves.
func askBeforeAbandonTime(t *testing.T, url, id string) (answered bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), standstillAbandonTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/stream/", strings.NewReader("question"))
	if err != nil {
		t.Error(err)
		return false
	}
	request.Header.Set("Id", id)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

// Guards against requests that get neither a response nor a refusal because the gateway stands still when the response is due, shortly
// before their callers leave: it has used up its share of a core for a tenth of a second, as when it reads a new configuration.
func TestCallersAreAnsweredDespiteStandstill(t *testing.T) {
	const callers = 20
	const standstill = 60 * time.Millisecond
	// The response is due 100 ms before the end: in the stop, or before it.
	tests := []struct{ beforeEnd time.Duration }{{120 * time.Millisecond}, {45 * time.Millisecond}}
	for _, test := range tests {
		t.Run(test.beforeEnd.String(), func(t *testing.T) {
			process, url := startForStandstill(t)
			var unanswered atomic.Int32
			var group sync.WaitGroup
			end := time.Now().Add(standstillAbandonTime)
			for n := range callers {
				group.Go(func() {
					if !askBeforeAbandonTime(t, url, fmt.Sprint("r", n)) {
						unanswered.Add(1)
					}
				})
			}
			time.Sleep(time.Until(end.Add(-test.beforeEnd)))
			_ = process.Signal(syscall.SIGSTOP)
			time.Sleep(standstill)
			_ = process.Signal(syscall.SIGCONT)
			group.Wait()
			if got := unanswered.Load(); got > 0 {
				t.Errorf("got %d of %d callers without a response, want none", got, callers)
			}
		})
	}
}
