package poison

import (
	"hash/fnv"
	"io"
	"time"
)

// Times that bound how much the instances write together. What one writes reaches all others, so that without bounds what each
// receives would grow with the fleet, and what else the store tells would come late.
const (
	// minWriteInterval is the minimum time between two writes of an instance.
	minWriteInterval = 200 * time.Millisecond
	// writeIntervalPerInstance times the number of instances is the time between two writes of one of them in a large fleet.
	writeIntervalPerInstance = 5 * time.Millisecond
	// maxWriteRate is the maximum number of bytes that all instances write together in a second. An instance that reads the store for
	// others sends it to dozens of them over a narrow link.
	maxWriteRate = 32 << 10
	// answerDelayPerInstance times the number of other instances is the maximum time that an instance waits for the cause of a crash to
	// become known before it tells the others of the answers that were not whole.
	answerDelayPerInstance = 10 * time.Millisecond
	// maxAnswerDelay is that time in a large fleet, which must know a poisoned part soon.
	maxAnswerDelay = 2 * time.Second
	// begunDelayPerInstance times the number of other instances is how much longer an instance waits before it tells the others of
	// requests whose answers had begun, so that they are not told if the answers that were not whole explain the crash.
	begunDelayPerInstance = 10 * time.Millisecond
	// minBegunDelay is the minimum of that. In a small fleet all instances get the announcement of a crash.
	minBegunDelay = time.Second
	// maxBegunDelay is the maximum of that.
	maxBegunDelay = 2 * time.Second
	// clearDelayPerInstance times the number of other instances is the maximum time that an instance waits for others to clear a part.
	clearDelayPerInstance = 20 * time.Millisecond
	// maxClearDelay is the maximum time that an instance of a large fleet waits for others to clear a part. As many instances may
	// clear it as have requests with it, which are about the same number in any fleet.
	maxClearDelay = 4 * time.Second
)

// WriteInterval returns the minimum time after a write of an instance until its next one, by the number of live instances and the size
// of what it wrote in bytes.
func WriteInterval(instances, size int) time.Duration {
	bySize := time.Duration(instances) * time.Duration(size) * time.Second / maxWriteRate
	return max(minWriteInterval, time.Duration(instances)*writeIntervalPerInstance, bySize)
}

// answerReportDelay returns how long an instance waits before it tells the others of the answers that were not whole at the crash of an
// engine: half of the maximum, and a part of the other half that differs between instances.
func answerReportDelay(self, engine string, instances int) time.Duration {
	longest := min(time.Duration(instances-1)*answerDelayPerInstance, maxAnswerDelay)
	return time.Duration(float64(longest) * (1 + fraction(self, engine)) / 2)
}

// begunReportDelay returns how long an instance waits before it tells the others of requests whose answers had begun at a crash.
func begunReportDelay(self, engine string, instances int) time.Duration {
	longer := max(time.Duration(instances-1)*begunDelayPerInstance, minBegunDelay)
	return answerReportDelay(self, engine, instances) + min(longer, maxBegunDelay)
}

// clearDelay returns how long an instance waits for another one to clear a part before it does so itself. It differs between instances,
// so that most of them hear of the first that did.
func clearDelay(self, part string, instances int) time.Duration {
	longest := min(time.Duration(instances-1)*clearDelayPerInstance, maxClearDelay)
	return time.Duration(float64(longest) * fraction(self, part))
}

// fraction returns a number in [0, 1) that is always the same for the names, and evenly distributed over names.
func fraction(names ...string) float64 {
	hash := fnv.New64a()
	for _, name := range names {
		_, _ = io.WriteString(hash, name+"\x00")
	}
	return float64(mix(hash.Sum64())>>11) / (1 << 53)
}

// mix spreads the differences of hashes of similar names over all bits.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	return hash ^ hash>>33
}
