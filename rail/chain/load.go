package chain

import "time"

// Resolution and length of the history of requests in progress.
const (
	historyStep    = 100 * time.Millisecond
	historyBuckets = 64
)

// load counts the requests of this instance at one backend server, now and in the recent past.
type load struct {
	inFlight int
	bucket   int64
	past     [historyBuckets]int32
}

func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(historyStep) }

// add changes the number of requests in progress.
func (l *load) add(now time.Time, change int) {
	l.advance(now)
	l.inFlight += change
}

// advance records the number of requests in progress at the start of each bucket up to now.
func (l *load) advance(now time.Time) {
	current := bucketOf(now)
	first := max(l.bucket+1, current-historyBuckets+1)
	for bucket := first; bucket <= current; bucket++ {
		l.past[bucket%historyBuckets] = int32(l.inFlight)
	}
	l.bucket = max(l.bucket, current)
}

// before returns the number of requests that were in progress at a time in the past.
func (l *load) before(at time.Time) int {
	bucket := max(bucketOf(at), l.bucket-historyBuckets+1)
	if l.bucket == 0 || bucket > l.bucket {
		return l.inFlight
	}
	return int(l.past[bucket%historyBuckets])
}
