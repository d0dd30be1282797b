package forward

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// respondAfterRun returns a function that responds with the status to a request that the server has run.
func respondAfterRun(status int) func(net.Conn, *http.Request, int) {
	return func(conn net.Conn, request *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nId: %s\r\nContent-Length: 3\r\n\r\nran", status, request.Header.Get("Id"))
	}
}

// Guards against a caller being told that its request was not run, and sending it again, by the status of a server that has run it: only
// a server that says so has not run the request.
func TestStatusAfterRunIsNoRefusal(t *testing.T) {
	whole := writeAnswer(http.StatusOK, chunked, chunk(eventText(1, lastEvent))+lastChunk)
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		tests := []struct {
			name, path string
			then       func(net.Conn, *http.Request, int) // how the second server responds
			want, sent int
		}{
			{"once", "/once/", respondAfterRun(status), http.StatusBadGateway, 1},
			{"safe, the other server responds", "/safe/", whole, http.StatusOK, 2},
			{"safe, both servers fail", "/safe/", respondAfterRun(status), http.StatusBadGateway, 2},
			{"safe, the other server does not run it", "/safe/", respondNotRun, http.StatusBadGateway, 2},
			{"stream, once", "/single/", respondAfterRun(status), http.StatusBadGateway, 1},
			{"stream, the other server responds", "/stream/", whole, http.StatusOK, 2},
			{"stream, both servers fail", "/stream/", respondAfterRun(status), http.StatusBadGateway, 2},
		}
		for _, test := range tests {
			t.Run(fmt.Sprint(status, " ", test.name), func(t *testing.T) {
				respond := firstThen(respondAfterRun(status), test.then)
				first, second := newServer(t, "first", respond), newServer(t, "second", respond)
				response, body, complete := newGateway(t, nil, first, second).send(t, test.path, "")
				if response.StatusCode != test.want || !complete {
					t.Errorf("got status %d, complete %v, body %q, want status %d", response.StatusCode, complete, body, test.want)
				}
				if got := first.received() + second.received(); got != test.sent {
					t.Errorf("got the request sent %d times, want %d", got, test.sent)
				}
			})
		}
	}
}
