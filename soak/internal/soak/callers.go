package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/platform/fakeplatform"
)

// asked is what a caller knows of one of its requests.
type asked struct {
	id, kind string
	key      fakeplatform.Key
	sent     time.Time
	refused  bool // the answer promised that it did not run
	served   bool
}

// callers send requests and check the answers.
type callers struct {
	mu     sync.Mutex
	sent   int
	asked  []asked
	faults []string
}

func (c *callers) fault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *callers) next() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	return fmt.Sprintf("r%06d", c.sent)
}

// requestTimeout is how long a caller waits.
const requestTimeout = 4 * time.Second

// ask sends one request over a client that keeps its connections.
func (c *callers) ask(ctx context.Context, client *http.Client, address, kind string, key fakeplatform.Key) {
	a := asked{id: c.next(), kind: kind, key: key, sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := fakeplatform.NewRequest(ctx, address, "/"+kind+"/x", a.id, key)
	if err != nil {
		c.fault("%s: %v", a.id, err)
		return
	}
	response, err := client.Do(request)
	if err == nil {
		c.read(&a, response)
		_ = response.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, a)
}

// read checks an answer.
func (c *callers) read(a *asked, response *http.Response) {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		a.refused = true
	case http.StatusOK:
		if !fakeplatform.Signed(response.Header) {
			c.fault("%s: success without a server's signature", a.id)
		}
		if a.kind == "stream" {
			c.readStream(a, response.Body)
			return
		}
		c.readPlain(a, response.Body)
	}
}

func (c *callers) readPlain(a *asked, body io.Reader) {
	content, err := io.ReadAll(body)
	if err != nil {
		return
	}
	if got, want := string(content), "answer to "+a.id; got != want {
		c.fault("%s: got %q as a whole answer, want %q", a.id, got, want)
	}
	a.served = true
}

// readStream checks that each event comes once and in order, and that a stream which ends well is whole.
func (c *callers) readStream(a *asked, body io.Reader) {
	last := 0
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		var id int
		if _, err := fmt.Sscanf(line, "id: %d", &id); err == nil {
			if id != last+1 {
				c.fault("%s: event %d follows %d", a.id, id, last)
			}
			last = id
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok && data != a.id {
			c.fault("%s: got an event of %s", a.id, data)
		}
	}
	if scanner.Err() != nil {
		return
	}
	if last != fakeplatform.StreamEvents {
		c.fault("%s: a stream ended well after event %d of %d", a.id, last, fakeplatform.StreamEvents)
	}
	a.served = true
}

// revokeBound is the time within which a removed key must stop to work.
const revokeBound = 5 * time.Second

// check compares what callers were told with what has run.
func (c *callers) check(runs []fakeplatform.Run, revoked map[string]time.Time) (faults []string, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := make(map[string]int)
	workspace := make(map[string]string)
	for _, run := range runs {
		count[run.RequestID]++
		workspace[run.RequestID] = run.Workspace
	}
	faults = append(faults, c.faults...)
	for _, a := range c.asked {
		n := count[a.id]
		if a.served {
			served++
		}
		if a.kind == "once" && n > 1 {
			faults = append(faults, fmt.Sprintf("%s may run once and ran %d times", a.id, n))
		}
		if a.refused && a.kind == "once" && n > 0 {
			faults = append(faults, fmt.Sprintf("%s was refused as not run, and ran", a.id))
		}
		if n > 0 && workspace[a.id] != a.key.Workspace {
			faults = append(faults, fmt.Sprintf("%s ran for workspace %q, its key is of %q", a.id, workspace[a.id], a.key.Workspace))
		}
		if at, gone := revoked[a.key.Key]; gone && n > 0 && a.sent.After(at.Add(revokeBound)) {
			faults = append(faults, fmt.Sprintf("%s ran %v after its key was taken away", a.id, a.sent.Sub(at)))
		}
	}
	return faults, served
}
