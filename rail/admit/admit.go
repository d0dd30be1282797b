package admit

import "time"

// NumPriorities is the number of priorities: 0 is the least and NumPriorities-1, which equals table.MaxPriority, the most urgent.
const NumPriorities = 10

// Request describes a request that is submitted to a Controller.
type Request struct {
	// ID identifies the request; it must be unique among the requests that wait or are in progress.
	ID string
	// Workspace is the workspace of the caller.
	Workspace string
	// Priority is the urgency of the request, from 0, the least, to NumPriorities-1, the most urgent; other values are
	// clamped.
	Priority int
	// Deadline is the time by which the request must have ended.
	Deadline time.Time
	// Units is the expected amount of work, such as the number of tokens; zero or less means one.
	Units float64
}

// Verdict is the result of a request for admission.
type Verdict int

const (
	// Granted means that the request runs now; Finish must be called when it ends.
	Granted Verdict = iota
	// Full means that the request is refused because the queue is full.
	Full
	// Late means that the request is refused because its deadline cannot be met.
	Late
	// Invalid means that the request is refused because its ID is in use, or because the state of the Controller violates an
	// invariant.
	Invalid
)

// String returns the name of the verdict in lower case.
func (v Verdict) String() string { return [...]string{"granted", "full", "late", "invalid"}[v] }

// Decision reports the verdict on one request, which no longer waits.
type Decision struct {
	// ID identifies the request.
	ID string
	// Verdict is the result for the request.
	Verdict Verdict
	// RetryAfter is the time after which a refused request may be sent again; it is zero for Granted and Invalid.
	RetryAfter time.Duration
}

// Capacity describes the load on the backend servers of the pool.
type Capacity struct {
	// Slots is the number of requests that the backend servers run at once.
	Slots int
	// Used is the number of requests that the backend servers report as in progress, from all instances.
	Used int
	// Instances is the number of instances that send requests to the pool, this one included.
	Instances int
}

// InstanceLimit returns the number of requests that one instance may have in progress, at least one; own is the number
// that it has now. An instance may always use an equal share of the slots, so all instances together can exceed the
// slots for some time.
func (c Capacity) InstanceLimit(own int) int {
	instances := max(1, c.Instances)
	equalShare := (c.Slots + instances - 1) / instances
	// If more slots are used than exist, an instance above its equal share reduces its requests in proportion.
	if c.Used > c.Slots {
		return max(1, equalShare, own*c.Slots/c.Used)
	}
	// Otherwise an instance may also add an equal share of the unused slots to its own requests, so that all instances together
	// add no more than is unused.
	return max(1, equalShare, own+(c.Slots-c.Used)/instances)
}
