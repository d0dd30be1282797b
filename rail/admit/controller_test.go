package admit

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/proptest"
)

// testWorkspaces is the number of workspaces in TestProveAdmission.
const testWorkspaces = 3

var epoch = time.Unix(1_000_000, 0)

// model is the expected state of a Controller.
type model struct {
	controller           *Controller
	config               Config
	now                  time.Time
	capacity             Capacity
	waiting              map[string]bool
	running              []string
	ended                map[string]bool
	deadlines            map[string]time.Time
	priorities           map[string]int
	lowestPriorityGrants int
	lastID               int
}

func newModel(rt *rapid.T) *model {
	m := &model{now: epoch, waiting: map[string]bool{}, ended: map[string]bool{}, deadlines: map[string]time.Time{}, priorities: map[string]int{}}
	m.config = Config{
		MaxQueued: rapid.IntRange(20, 45).Draw(rt, "queue"), MaxRunning: rapid.IntRange(1, 6).Draw(rt, "running"),
		Random: rand.New(rand.NewSource(1)), Checker: new(invariant.Checker),
	}
	m.controller = New(m.config)
	return m
}

// submit sends the controller a new request of a random workspace; its deadline is wait from now.
func (m *model) submit(rt *rapid.T, tally *proptest.Tally, priority int, wait time.Duration) {
	m.lastID++
	id := fmt.Sprintf("r%d", m.lastID)
	m.deadlines[id], m.priorities[id] = m.now.Add(wait), priority
	workspace := fmt.Sprintf("w%d", rapid.IntRange(0, testWorkspaces-1).Draw(rt, "workspace"))
	m.waiting[id] = true
	m.apply(rt, tally, m.controller.Submit(m.now, Request{
		ID: id, Workspace: workspace, Priority: priority, Deadline: m.now.Add(wait), Units: float64(rapid.IntRange(0, 3).Draw(rt, "units")),
	}))
}

// apply checks the decisions against the model.
func (m *model) apply(rt *rapid.T, tally *proptest.Tally, decisions []Decision) {
	for _, decision := range decisions {
		_, isWaiting := m.waiting[decision.ID]
		if !isWaiting || m.ended[decision.ID] {
			tally.Failf(rt, "%s: got verdict %s, want none because it does not wait", decision.ID, decision.Verdict)
		}
		delete(m.waiting, decision.ID)
		if decision.Verdict != Granted {
			m.ended[decision.ID] = true
			if decision.RetryAfter < minRetryAfter || decision.RetryAfter >= 2*maxRetryAfter {
				tally.Failf(rt, "RetryAfter %s is out of bounds", decision.RetryAfter)
			}
			continue
		}
		if !m.now.Before(m.deadlines[decision.ID]) {
			tally.Failf(rt, "%s was granted after its deadline", decision.ID)
		}
		m.running = append(m.running, decision.ID)
		if m.priorities[decision.ID] == 0 {
			m.lowestPriorityGrants++
		}
		if limit := m.controller.Counts().Limit; len(m.running) > limit {
			tally.Failf(rt, "in progress: got %d, want at most %d", len(m.running), limit)
		}
	}
	counts := m.controller.Counts()
	if counts.Waiting != len(m.waiting) || counts.Waiting > m.config.MaxQueued {
		tally.Failf(rt, "waiting: got %d, want %d and at most %d", counts.Waiting, len(m.waiting), m.config.MaxQueued)
	}
	if counts.Running != len(m.running) || counts.Limit > m.config.MaxRunning {
		tally.Failf(rt, "in progress: got %d, want %d with a limit of at most %d", counts.Running, len(m.running), m.config.MaxRunning)
	}
	if counts.Waiting > 0 && counts.Running < counts.Limit {
		tally.Failf(rt, "%d requests wait although only %d of %d are in progress", counts.Waiting, counts.Running, counts.Limit)
	}
}

// finish ends the request that has been in progress longest.
func (m *model) finish(rt *rapid.T, tally *proptest.Tally, served bool) {
	if len(m.running) == 0 {
		return
	}
	id := m.running[0]
	m.running = m.running[1:]
	m.ended[id] = true
	m.apply(rt, tally, m.controller.Finish(m.now, id, served))
}

// floodHighestPriority checks that no request starves while requests of the highest priority arrive as fast as they
// end.
//
// Each request takes a second. A priority is passed over by at most 16 grants for each priority with waiting requests.
// Within it, a workspace is passed over only until each other one has used maxExcessSeconds and one second more. The
// number of grants in bound follows from both.
func (m *model) floodHighestPriority(rt *rapid.T, tally *proptest.Tally) {
	tally.Count("crowd")
	for range m.config.MaxQueued + m.config.MaxRunning {
		m.submit(rt, tally, NumPriorities-1, 1000*time.Hour)
	}
	for range 3 {
		m.submit(rt, tally, rapid.IntRange(0, 3).Draw(rt, "starving"), 1000*time.Hour)
	}
	initiallyWaiting := make(map[string]bool)
	for id := range m.waiting {
		initiallyWaiting[id] = true
	}
	bound := reservedGrantInterval * NumPriorities * (m.config.MaxQueued + testWorkspaces*(maxExcessSeconds+1))
	before := m.lowestPriorityGrants
	for i := 0; i < bound && (m.lowestPriorityGrants == before || m.anyWaits(initiallyWaiting)); i++ {
		m.submit(rt, tally, NumPriorities-1, 1000*time.Hour)
		if i%NumPriorities == 0 {
			m.submit(rt, tally, 0, 1000*time.Hour)
		}
		m.now = m.now.Add(time.Second / time.Duration(max(1, len(m.running))))
		m.finish(rt, tally, false)
	}
	if m.lowestPriorityGrants == before {
		tally.Failf(rt, "the lowest priority got no grant among %d", bound)
	}
	if m.anyWaits(initiallyWaiting) {
		tally.Failf(rt, "a request still waits after %d grants", bound)
	}
}

// anyWaits reports whether at least one of the requests waits.
func (m *model) anyWaits(ids map[string]bool) bool {
	for id := range ids {
		if m.waiting[id] {
			return true
		}
	}
	return false
}

// step applies one random operation to the controller.
func (m *model) step(rt *rapid.T, tally *proptest.Tally) {
	switch rapid.IntRange(0, 11).Draw(rt, "step") {
	case 0:
		tally.Count("callergone")
		for id := range m.waiting {
			if !m.controller.Cancel(id) {
				tally.Failf(rt, "%s: Cancel returned false, want true", id)
			}
			delete(m.waiting, id)
			m.ended[id] = true
			break
		}
	case 1:
		tally.Count("capacity")
		m.capacity = Capacity{
			Slots: rapid.IntRange(0, 30).Draw(rt, "slots"), Used: rapid.IntRange(0, 40).Draw(rt, "used"), Instances: rapid.IntRange(0, 9).Draw(rt, "instances"),
		}
		m.apply(rt, tally, m.controller.SetCapacity(m.now, m.capacity))
	case 2:
		tally.Count("clockjump")
		m.now = m.now.Add(time.Duration(rapid.IntRange(-500, 20_000).Draw(rt, "jump")) * time.Millisecond)
		m.apply(rt, tally, m.controller.Tick(m.now))
	case 3, 4, 5:
		m.finish(rt, tally, rapid.Bool().Draw(rt, "served"))
	case 6:
		if rapid.IntRange(0, 9).Draw(rt, "crowd") == 0 {
			m.floodHighestPriority(rt, tally)
		}
	default:
		wait := time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "wait")) * time.Millisecond
		m.submit(rt, tally, rapid.IntRange(-1, NumPriorities).Draw(rt, "priority"), wait)
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
}

// TestProveAdmission checks under random operations that the limits hold, that no request is lost, granted after its
// deadline or granted twice, that none starves, and that the state of idle workspaces is removed.
func TestProveAdmission(t *testing.T) {
	proptest.Run(t, "admission", func(rt *rapid.T, tally *proptest.Tally) {
		m := newModel(rt)
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			tally.Operations++
			m.step(rt, tally)
		}
		for len(m.running) > 0 {
			m.finish(rt, tally, true)
		}
		if got, want := len(m.ended), m.lastID; got != want {
			tally.Failf(rt, "requests that ended: got %d, want %d", got, want)
		}
		m.now = m.now.Add(time.Minute)
		m.apply(rt, tally, m.controller.Tick(m.now))
		if got := m.controller.Counts().Workspaces; got != 0 {
			tally.Failf(rt, "workspaces kept after a minute without requests: got %d, want 0", got)
		}
		if got := m.config.Checker.Violations(); got != 0 {
			tally.Failf(rt, "invariants violated in the controller: got %d, want 0", got)
		}
	})
}

// TestProveFairness checks that workspaces with waiting requests get similar slot time although their requests take
// different times.
func TestProveFairness(t *testing.T) {
	proptest.Run(t, "fairness", func(rt *rapid.T, tally *proptest.Tally) {
		workspaces := rapid.IntRange(2, 5).Draw(rt, "workspaces")
		controller := New(Config{
			MaxQueued: 64, MaxRunning: rapid.IntRange(1, 6).Draw(rt, "running"), Random: rand.New(rand.NewSource(1)),
		})
		serviceTime, slotTime := make([]time.Duration, workspaces), make([]time.Duration, workspaces)
		backlog := make([]int, workspaces)
		for i := range workspaces {
			serviceTime[i] = time.Duration(rapid.IntRange(100, 2000).Draw(rt, "service")) * time.Millisecond
			backlog[i] = rapid.IntRange(2, 12).Draw(rt, "backlog")
		}
		now, lastID := epoch, 0
		type execution struct {
			id        string
			workspace int
			end       time.Time
		}
		var running []execution
		owner := map[string]int{}
		var apply func(decisions []Decision)
		submit := func(workspace int) {
			lastID++
			id := fmt.Sprint(lastID)
			owner[id] = workspace
			apply(controller.Submit(now, Request{ID: id, Workspace: fmt.Sprint(workspace), Deadline: now.Add(time.Hour)}))
		}
		apply = func(decisions []Decision) {
			for _, decision := range decisions {
				workspace := owner[decision.ID]
				if decision.Verdict != Granted {
					tally.Failf(rt, "got %s, want granted", decision.Verdict)
				}
				running = append(running, execution{id: decision.ID, workspace: workspace, end: now.Add(serviceTime[workspace])})
				submit(workspace)
			}
		}
		for i := range workspaces {
			for range backlog[i] {
				submit(i)
			}
		}
		for range 400 {
			tally.Operations++
			first := 0
			for i := range running {
				if running[i].end.Before(running[first].end) {
					first = i
				}
			}
			ended := running[first]
			running = append(running[:first], running[first+1:]...)
			now = ended.end
			slotTime[ended.workspace] += serviceTime[ended.workspace]
			apply(controller.Finish(now, ended.id, true))
		}
		total := time.Duration(0)
		for _, time := range slotTime {
			total += time
		}
		for i := range slotTime {
			if got, want := float64(slotTime[i])/float64(total), 0.7/float64(workspaces); got < want {
				tally.Failf(rt, "share of workspace %d of %d: got %.2f, want at least %.2f", i, workspaces, got, want)
			}
		}
	})
}
