package admit

import (
	"math"
	"slices"
	"time"
)

// Bounds of the state of a workspace.
const (
	// maxExcessSeconds is the maximum slot time above the minimum of the active workspaces, in seconds, that counts
	// against a workspace.
	maxExcessSeconds = 10.0
	// idleTimeout is the time after which the state of a workspace without requests is dropped.
	idleTimeout = 10 * time.Second
)

// waitingRequest is a request in the queue; sequence numbers the requests in the order of their arrival.
type waitingRequest struct {
	Request
	sequence  uint64
	workspace *workspaceState
}

// workspaceState holds the queues and the slot time of a workspace that has requests or has recently used more slot
// time than the minimum.
type workspaceState struct {
	name string
	// slotSeconds is the slot time that the workspace has used, as of updatedAt. workspaceSet.update caps it at maxExcessSeconds
	// above the minimum, and get raises it to the minimum for a workspace without requests.
	slotSeconds float64
	updatedAt   time.Time
	// lastActive is the last time at which the workspace was seen with requests.
	lastActive time.Time
	running    int
	waiting    int
	queues     [NumPriorities][]*waitingRequest
	// lastGrant is the number of the newest grant to the workspace.
	lastGrant uint64
}

// update adds the slot time that the workspace has used since the last call.
func (w *workspaceState) update(now time.Time) {
	if elapsed := now.Sub(w.updatedAt).Seconds(); elapsed > 0 {
		w.slotSeconds += elapsed * float64(w.running)
		w.updatedAt = now
	}
	if w.active() {
		w.lastActive = now
	}
}

// active reports whether the workspace has requests that wait or are in progress.
func (w *workspaceState) active() bool { return w.running > 0 || w.waiting > 0 }

// push appends a request to the queue of its priority.
func (w *workspaceState) push(request *waitingRequest) {
	w.queues[request.Priority] = append(w.queues[request.Priority], request)
	w.waiting++
}

// remove removes a request from the queue of its priority.
func (w *workspaceState) remove(request *waitingRequest) {
	queue := w.queues[request.Priority]
	if i := slices.Index(queue, request); i >= 0 {
		w.queues[request.Priority] = slices.Delete(queue, i, i+1)
		w.waiting--
	}
}

// workspaceSet holds the workspaces of a Controller and shares the slots fairly among them.
type workspaceSet struct {
	byName map[string]*workspaceState
	// minSlotSeconds is the minimum slot time of the active workspaces; it never decreases.
	minSlotSeconds float64
}

// get returns the state of the workspace, which it creates if necessary.
//
// A workspace without requests is treated as if it had used at least the minimum of the active workspaces.
func (s *workspaceSet) get(now time.Time, name string) *workspaceState {
	workspace, ok := s.byName[name]
	if !ok {
		workspace = &workspaceState{name: name, updatedAt: now, lastActive: now}
		s.byName[name] = workspace
	}
	workspace.update(now)
	if !workspace.active() {
		workspace.slotSeconds = max(workspace.slotSeconds, s.minSlotSeconds)
	}
	return workspace
}

// update updates the slot time of every workspace, caps it at maxExcessSeconds above the minimum, and drops workspaces without
// requests that have used no more than the minimum or have been idle for idleTimeout.
func (s *workspaceSet) update(now time.Time) {
	lowest := math.Inf(1)
	for _, workspace := range s.byName {
		workspace.update(now)
		if workspace.active() {
			lowest = min(lowest, workspace.slotSeconds)
		}
	}
	if !math.IsInf(lowest, 1) {
		s.minSlotSeconds = max(s.minSlotSeconds, lowest)
	}
	for name, workspace := range s.byName {
		workspace.slotSeconds = min(workspace.slotSeconds, s.minSlotSeconds+maxExcessSeconds)
		if !workspace.active() && (workspace.slotSeconds <= s.minSlotSeconds || now.Sub(workspace.lastActive) >= idleTimeout) {
			delete(s.byName, name)
		}
	}
}

// nextRequest returns the oldest request of the priority from the workspace that has used the least slot time.
func (s *workspaceSet) nextRequest(priority int) *waitingRequest {
	var chosen *workspaceState
	for _, workspace := range s.byName {
		if len(workspace.queues[priority]) > 0 && (chosen == nil || workspace.precedes(chosen)) {
			chosen = workspace
		}
	}
	return chosen.queues[priority][0]
}

// precedes reports whether the workspace is served before the other one: by slot time, then last grant, then name.
func (w *workspaceState) precedes(other *workspaceState) bool {
	if w.slotSeconds != other.slotSeconds {
		return w.slotSeconds < other.slotSeconds
	}
	if w.lastGrant != other.lastGrant {
		return w.lastGrant < other.lastGrant
	}
	return w.name < other.name
}

// longestQueue returns the workspace with the most waiting requests of the priority.
func (s *workspaceSet) longestQueue(priority int) (found *workspaceState) {
	for _, workspace := range s.byName {
		longer := found == nil || len(workspace.queues[priority]) > len(found.queues[priority])
		equal := found != nil && len(workspace.queues[priority]) == len(found.queues[priority])
		if longer || equal && workspace.name < found.name {
			found = workspace
		}
	}
	return found
}
