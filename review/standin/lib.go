// Command standin plays the cases of the review: it starts gateways as processes, with a store, workers and clients of its own.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cannotRun ends the program with the exit code of a case that couldn't run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	stopAll()
	os.Exit(2)
}

func must(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

var (
	startedAt  = time.Now()
	recordMu   sync.Mutex
	recordFile *bufio.Writer
	// trouble is false for a run without the disruption.
	trouble = os.Getenv("TROUBLE") != "0"
)

// since returns the seconds since the start of the program.
func since(at time.Time) float64 { return at.Sub(startedAt).Seconds() }

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%8.3f "+format+"\n", append([]any{since(time.Now())}, args...)...)
}

func say(format string, args ...any) {
	note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// finish writes the result and ends the program.
func finish(broken bool, format string, args ...any) {
	say(format, args...)
	result, code := "HELD", 0
	if broken {
		result, code = "BROKEN", 1
	}
	say("%s", result)
	stopAll()
	recordMu.Lock()
	_ = recordFile.Flush()
	os.Exit(code)
}

// gateway is one process of the program under test.
type gateway struct {
	name, zone, front, ready, settings string
	process                            *exec.Cmd
	ended                              chan struct{}
}

var (
	gatewaysMu sync.Mutex
	gateways   []*gateway
)

// stopAll kills the processes that this program has started.
func stopAll() {
	gatewaysMu.Lock()
	defer gatewaysMu.Unlock()
	for _, g := range gateways {
		if g.process != nil && g.process.Process != nil {
			_ = g.process.Process.Kill()
			<-g.ended
		}
	}
	if folder != "" {
		_ = os.RemoveAll(folder)
	}
}

// folder is the temporary folder of the settings and the logs.
var folder string

// nextPort is the next port that freePort tries. Programs that run at the same time begin at different ports.
var nextPort = 10000 + os.Getpid()%200*100

// freePort returns an address whose port is free for TCP and UDP, outside of the range of ephemeral ports.
func freePort() string {
	for range 1000 {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", 10000+nextPort%20000)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = packets.Close()
		return address
	}
	cannotRun("no free port")
	return ""
}

// newGateway writes the settings of a gateway, as deploy/gateway.toml.template gives them, with the bounds of the sites.
func newGateway(name, zone, store string) *gateway {
	g := &gateway{name: name, zone: zone, front: freePort(), ready: freePort(), settings: filepath.Join(folder, name+".toml")}
	content := fmt.Sprintf(`name = "%s"
zone = "%s"

[listen]
caller = "%s"
ready = "%s"
peer = "%s"

[store]
address = "%s"

[key]
revoke = "5000ms"
apply = "2000ms"

[repeat]
ratio = 0.2
burst = 202
window = "10s"

[memory]
limit = 284

[stop]
limit = "8s"
`, name, zone, g.front, g.ready, freePort(), store)
	must(os.WriteFile(g.settings, []byte(content), 0o600))
	return g
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() {
	log, err := os.OpenFile(filepath.Join(folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	g.process = exec.Command("target/comfreyrail", "gateway", "--settings", g.settings)
	g.process.Stdout, g.process.Stderr = log, log
	must(g.process.Start())
	g.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}(g.process, g.ended)
	note("%s started, for clients at %s", g.name, g.front)
	gatewaysMu.Lock()
	defer gatewaysMu.Unlock()
	for _, other := range gateways {
		if other == g {
			return
		}
	}
	gateways = append(gateways, g)
}

func (g *gateway) signal(signal syscall.Signal) {
	note("%s gets %v", g.name, signal)
	_ = g.process.Process.Signal(signal)
}

// isReady asks the gateway whether it is ready, as the platform does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the gateway is ready.
func (g *gateway) awaitReady(limit time.Duration) {
	for start := time.Now(); time.Since(start) < limit; time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			note("%s is ready", g.name)
			return
		}
	}
	cannotRun("%s is not ready", g.name)
}

// setUp opens the record and the temporary folder.
func setUp(record string) {
	file, err := os.Create(record)
	must(err)
	recordFile = bufio.NewWriterSize(file, 1<<20)
	folder, err = os.MkdirTemp("", "review")
	must(err)
	if _, err = os.Stat("target/comfreyrail"); err != nil {
		cannotRun("target/comfreyrail is missing: %v", err)
	}
	time.AfterFunc(110*time.Second, func() { cannotRun("the case took too long") })
	note("trouble %v", trouble)
}

// config is the operator's configuration.
type config map[string]any

func encode(value any) []byte {
	content, err := json.Marshal(value)
	must(err)
	return content
}

// limits are those of the sites.
var limits = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}

// client is one connection of a client, which it keeps for several requests.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// reply is what the client has got of an answer.
type reply struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
	closed   bool // whether the gateway closes the connection
}

// send sends a request and reads its answer, until the deadline, and records both.
func (c *client) send(method, path, host string, header map[string]string, body string, deadline time.Duration) reply {
	id := header["X-Comfreyrail-Attempt-Id"]
	note("sent %s to %v: %s %s", id, c.conn.RemoteAddr(), method, path)
	got := c.exchange(method, path, host, header, body, deadline)
	note("answered %s: status %d, complete %v, %d bytes, error %v", id, got.status, got.complete, len(got.body), got.err)
	return got
}

// exchange sends a request and reads its answer, until the deadline.
func (c *client) exchange(method, path, host string, header map[string]string, body string, deadline time.Duration) reply {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	for name, value := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&text, "X-Comfreyrail-Deadline-Ms: %d\r\n", deadline.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		return reply{err: err, closed: true}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return reply{err: err, closed: true}
	}
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: content, complete: err == nil, err: err, closed: response.Close || err != nil}
}

var (
	idMu   sync.Mutex
	lastID int
)

// newID returns the id of a client attempt.
func newID(kind string) string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID++
	return fmt.Sprintf("%s-%05d", kind, lastID)
}
