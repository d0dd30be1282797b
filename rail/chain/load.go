package chain

import "time"

// Duration and number of the buckets in the history of requests in progress, which covers 6.4 seconds.
const (
	bucketDuration = 100 * time.Millisecond
	historyBuckets = 64
)

// requestCounter counts the requests of this instance in progress at one backend server, now and in the recent past.
type requestCounter struct {
	inFlight int
	// lastBucket is the number of the newest bucket in history, which is a ring buffer; zero before the first change.
	lastBucket int64
	history    [historyBuckets]int32
}

// bucketOf returns the number of the bucket that contains the time, counted from the Unix epoch.
func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(bucketDuration) }

// add changes the number of requests in progress.
func (c *requestCounter) add(now time.Time, change int) {
	c.advance(now)
	c.inFlight += change
}

// advance records the number of requests in progress at the start of each bucket up to now.
func (c *requestCounter) advance(now time.Time) {
	current := bucketOf(now)
	first := max(c.lastBucket+1, current-historyBuckets+1)
	for bucket := first; bucket <= current; bucket++ {
		c.history[bucket%historyBuckets] = int32(c.inFlight)
	}
	c.lastBucket = max(c.lastBucket, current)
}

// inFlightAt returns the number of requests that were in progress at the start of the bucket that contains the time. It
// uses the oldest bucket for times before the history, and the current number for times after the last bucket.
func (c *requestCounter) inFlightAt(at time.Time) int {
	bucket := max(bucketOf(at), c.lastBucket-historyBuckets+1)
	if c.lastBucket == 0 || bucket > c.lastBucket {
		return c.inFlight
	}
	return int(c.history[bucket%historyBuckets])
}
