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

// forcedExitDelay is the time from the second call of Stop until the process ends without waiting any longer.
const forcedExitDelay = 10 * time.Second

// AbortedRequestsError is the error for a stop that aborted requests.
type AbortedRequestsError struct {
	// Requests lists the aborted requests, oldest first.
	Requests []stop.Request
}

// Error returns a message with the number and the IDs of the requests.
func (e *AbortedRequestsError) Error() string {
	ids := make([]string, 0, len(e.Requests))
	for _, request := range e.Requests {
		ids = append(ids, request.ID)
	}
	return fmt.Sprintf("the stop aborted %d requests: %s", len(ids), strings.Join(ids, " "))
}

// Stop starts the graceful shutdown. The second call aborts the requests that are still in progress, and ends the process
// after forcedExitDelay even if the shutdown is not complete.
func (p *Process) Stop() {
	p.callers.Stop()
	if p.stopCalls.Add(1) == 2 {
		p.log.Warn("stopping: second stop request, aborting the requests in progress")
		time.AfterFunc(forcedExitDelay, func() { close(p.forcedExit) })
	}
}

// Dump is the content of the line that WriteDump writes.
type Dump struct {
	// State is the state that the admin interface shows.
	State admin.Dump `json:"state"`
	// Callers is the state of the connections from callers.
	Callers graceful.State `json:"callers"`
}

// WriteDump writes the state of the process to w as one line of JSON.
func (p *Process) WriteDump(w io.Writer) (err error) {
	defer errors.DeferredAnnotatef(&err, "dump")
	return json.NewEncoder(w).Encode(Dump{State: p.admin.Dump(), Callers: p.callers.State()})
}
