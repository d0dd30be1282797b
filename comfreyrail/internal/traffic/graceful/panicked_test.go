package graceful

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Guards against a request that has been read whole and ends without a response because its handler panics, and against a response
// that looks complete although its handler panicked.
func TestPanickedRequestIsAnswered(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		status int
		broken bool // whether the response must end early
		count  int64
	}{
		{"before the response", "/before", http.StatusBadGateway, false, 1},
		{"in the response", "/in", http.StatusOK, true, 1},
		{"aborted", "/abort", 0, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			i := start(t, time.Second, func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/in":
					_, _ = io.WriteString(w, "begun")
					_ = http.NewResponseController(w).Flush()
				case "/abort":
					panic(http.ErrAbortHandler)
				}
				panic("broken")
			})
			status, err := ask(t, i.address, test.path)
			if status != test.status || (err != nil) != test.broken {
				t.Errorf("got status %d, %v, want %d, ended early %v", status, err, test.status, test.broken)
			}
			if got := metrics.GetOrRegisterCounter("requests.panicked", i.config.Metrics).Count(); got != test.count {
				t.Errorf("got %d panics counted, want %d", got, test.count)
			}
		})
	}
}

// ask sends a request and returns the status of the response, zero without one, and an error if it is not complete.
func ask(t *testing.T, address, path string) (status int, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: test\r\nContent-Length: 8\r\n\r\nquestion", path)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
