package process

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/notices"
	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// serveOrders refuses the first order and accepts all others. Before each response, it sends the earlier ones of the connection
// again.
func serveOrders(listener net.Listener) {
	orders := 0
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader, sent := bufio.NewReader(conn), ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, request.Body)
			orders++
			if orders == 1 {
				sent += "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
			} else {
				sent += "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
			}
			_, _ = io.WriteString(conn, sent)
		}
		_ = conn.Close()
	}
}

// Guards against an earlier refusal that an engine sends again on an idle connection being taken for the response to the next
// order, which the engine executes: the response to an order does not show which order it belongs to.
func TestRepeatedRefusalIsNotTheResponseToTheNextOrder(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go serveOrders(listener)
	engines, engine := provideEngines(notices.New(notices.Config{}), nil), backend.Server{ID: "engine", Address: listener.Addr().String()}
	if err = engines.OrderLoad(context.Background(), engine, 0, backend.Range{To: 8}); err == nil {
		t.Fatal("got no error for the first order, want it refused")
	}
	if err = engines.OrderLoad(context.Background(), engine, 1, backend.Range{To: 8}); err != nil {
		t.Errorf("got %v for the second order, want it accepted", err)
	}
}
