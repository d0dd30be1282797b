package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// writeEvent writes one event as a chunk.
func writeEvent(conn net.Conn, id int, text string) {
	content := fmt.Sprintf("id: %d\ndata: %s\n\n", id, text)
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(content), content)
}

func writeStreamHeader(conn net.Conn, request *http.Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
}

// respondFiveEvents streams the events after Last-Event-Id up to the fifth. An attempt that starts at the first event
// closes the connection in the middle of the third.
func respondFiveEvents(conn net.Conn, request *http.Request, _ int) {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	writeStreamHeader(conn, request)
	for id := last + 1; id <= 5; id++ {
		if last == 0 && id == 3 {
			_, _ = io.WriteString(conn, "5\r\nid: 3\r\n")
			_ = conn.Close()
			return
		}
		writeEvent(conn, id, strconv.Itoa(id))
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// Guards against a partial, missing or duplicate event when a second server continues the stream.
func TestStreamResumesAtAnotherServer(t *testing.T) {
	g := newGateway(t, nil, newServer(t, "first", respondFiveEvents), newServer(t, "second", respondFiveEvents))
	response, body, complete := g.send(t, "/stream/", "")
	want := ""
	for id := 1; id <= 5; id++ {
		want += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	}
	if response.StatusCode != http.StatusOK || body != want || !complete {
		t.Errorf("got status %d, complete %v, body %q, want every event once: %q", response.StatusCode, complete, body, want)
	}
}

// Guards against duplicate events when the second server restarts the stream from its first event instead of resuming it.
func TestResumedStreamHasNoDuplicates(t *testing.T) {
	var runs atomic.Int32
	respond := func(conn net.Conn, request *http.Request, _ int) {
		first := runs.Add(1) == 1
		writeStreamHeader(conn, request)
		for id := 1; id <= 5; id++ {
			if first && id == 3 {
				_ = conn.Close()
				return
			}
			writeEvent(conn, id, "x")
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	g := newGateway(t, nil, newServer(t, "first", respond), newServer(t, "second", respond))
	_, body, complete := g.send(t, "/stream/", "")
	for id := 1; id <= 5; id++ {
		if got := strings.Count(body, fmt.Sprintf("id: %d\n", id)); got != 1 || !complete {
			t.Errorf("got event %d %d times, complete %v, want once: %q", id, got, complete, body)
		}
	}
}

// Guards against a second attempt at a stream that must not be resumed, and against a truncated stream that looks complete.
func TestNonResumableStream(t *testing.T) {
	first, second := newServer(t, "first", respondFiveEvents), newServer(t, "second", respondFiveEvents)
	_, body, complete := newGateway(t, nil, first, second).send(t, "/single/", "")
	if got := first.received() + second.received(); got != 1 {
		t.Errorf("got %d requests at the servers, want 1", got)
	}
	if complete || strings.Contains(body, "id: 3") {
		t.Errorf("got %q, complete %v, want it truncated after the second event", body, complete)
	}
}

// Guards against a server working on for a caller that has disconnected. If it does, the test doesn't end.
func TestCallerDisconnectReachesServer(t *testing.T) {
	disconnected := make(chan struct{})
	s := newServer(t, "only", func(conn net.Conn, request *http.Request, _ int) {
		writeStreamHeader(conn, request)
		writeEvent(conn, 1, "x")
		_, _ = conn.Read(make([]byte, 1))
		close(disconnected)
	})
	g := newGateway(t, nil, s)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+"/stream/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Id", "r1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	_ = response.Body.Close()
	<-disconnected
}
