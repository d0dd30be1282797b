package process

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/admin"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/graceful"
	"github.com/comfreyrail/comfreyrail/rail/stop"
)

// forceTimeout is the time after which a stop that was asked for twice ends the process whatever it waits for.
const forceTimeout = 10 * time.Second

// CutRequestsError tells which requests a stop cut.
type CutRequestsError struct {
	// Requests lists the requests, the oldest first.
	Requests []stop.Request
}

// Error names the requests.
func (e *CutRequestsError) Error() string {
	ids := make([]string, 0, len(e.Requests))
	for _, request := range e.Requests {
		ids = append(ids, request.ID)
	}
	return fmt.Sprintf("the stop cut %d requests: %s", len(ids), strings.Join(ids, " "))
}

// Stop asks for the planned stop; asked a second time, it cuts what is left.
func (p *Process) Stop() {
	p.callers.Stop()
	if p.asked.Add(1) == 2 {
		p.log.Warn("stopping: asked a second time, cutting the requests in progress")
		time.AfterFunc(forceTimeout, func() { close(p.forced) })
	}
}

// Dump is the state of the process.
type Dump struct {
	// State is the state as operators see it.
	State admin.Dump `json:"state"`
	// Callers is the state of the connections of callers.
	Callers graceful.State `json:"callers"`
}

// WriteDump writes the state of the process as one line of JSON.
func (p *Process) WriteDump(w io.Writer) (err error) {
	defer errors.DeferredAnnotatef(&err, "dump")
	return json.NewEncoder(w).Encode(Dump{State: p.admin.Dump(), Callers: p.callers.State()})
}
