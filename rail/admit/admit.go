package admit

import "time"

// Priorities is the number of priorities; the highest is Priorities-1.
const Priorities = 10

// Request is a request that asks for admission.
type Request struct {
	// ID identifies the request.
	ID string
	// Workspace is the workspace of the caller.
	Workspace string
	// Priority orders requests, 0 the lowest.
	Priority int
	// Deadline is the time after which an answer is of no use.
	Deadline time.Time
	// Units is the expected work, such as the number of tokens; zero means one.
	Units float64
}

// Verdict says what becomes of a request.
type Verdict int

const (
	// Granted means that the request runs now; Finish must follow.
	Granted Verdict = iota
	// Full means that the request is refused because too many wait.
	Full
	// Late means that the request is refused because its deadline cannot be met.
	Late
	// Invalid means that the request is refused because its id is in use or an invariant did not hold.
	Invalid
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"granted", "full", "late", "invalid"}[v] }

// Action ends the wait of one request.
type Action struct {
	// ID identifies the request.
	ID string
	// Verdict says what becomes of the request.
	Verdict Verdict
	// RetryAfter is the time after which a refused request may be repeated.
	RetryAfter time.Duration
}

// Capacity is what is known about the backend servers of the pool.
type Capacity struct {
	// Slots is the number of requests that the backend servers run at once.
	Slots int
	// Used is the number of requests at the backend servers, as they report it.
	Used int
	// Instances is the number of instances that send requests to the pool, this one included.
	Instances int
}

// Share returns the number of requests that one instance may have in progress.
//
// It is an equal part of the slots, or what the instance has now and an equal part of the unused slots. As every
// instance takes only its part of what is unused, all together take no more than there is. If more is used than there
// is, an instance above its part gives back in proportion.
func (c Capacity) Share(own int) int {
	instances := max(1, c.Instances)
	part := (c.Slots + instances - 1) / instances
	if c.Used > c.Slots {
		return max(1, part, own*c.Slots/c.Used)
	}
	return max(1, part, own+(c.Slots-c.Used)/instances)
}
