package forward

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/limit"
)

// Guards against a stream of small events that is cut because the responses of other servers have taken all memory: several events
// arrive together with the beginning of the next one.
func TestSmallEventsNeedNoMemoryBudget(t *testing.T) {
	const events = 400
	var stream bytes.Buffer
	for id := 1; id <= events; id++ {
		_, _ = fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 90))
	}
	respond := func(conn net.Conn, request *http.Request, _ int) {
		writeStreamHeader(conn, request)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", stream.Len(), stream.Bytes())
	}
	one, two := newServer(t, "one", respond), newServer(t, "two", respond)
	g := newGateway(t, nil, one, two)
	if !g.memory.Take(responseMemory - limit.FreeBytes/4) {
		t.Fatal("got no memory to take, want all but a little")
	}
	response, body, complete := g.send(t, "/stream/", "")
	if response.StatusCode != http.StatusOK || body != stream.String() || !complete {
		t.Errorf("got status %d, complete %v, %d bytes, want the whole stream of %d", response.StatusCode, complete, len(body), stream.Len())
	}
	if got := one.received() + two.received(); got != 1 {
		t.Errorf("got %d attempts, want 1", got)
	}
}
