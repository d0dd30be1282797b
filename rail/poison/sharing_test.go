package poison

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// Sizes and times of a large fleet under load, of which engines crash one after the other because of one part.
const (
	sharingEngines    = 40  // that hold the first layers
	sharingParts      = 150 // that sound requests have, one each
	sharingPerSecond  = 800 // requests of all instances
	sharingFirstEvent = 150 * time.Millisecond
	sharingAnswer     = 2500 * time.Millisecond
	sharingTick       = 250 * time.Millisecond // between looks of an instance at its evidence
	sharingDelay      = time.Second            // until the others know what one has written
	sharingCrashes    = 24
	sharingCrashAt    = 4 * time.Second // the first crash
	sharingCrashEvery = 85 * time.Millisecond
	sharingKnown      = 4 * time.Second // from the first crash until all instances must know the part
	sharingLength     = 16 * time.Second
)

// sharingInstance is an instance and what it wrote.
type sharingInstance struct {
	finder    *Finder
	written   Evidence
	writtenAt time.Time
	size      int
}

// sharingFleet simulates instances that write what they saw for the others.
type sharingFleet struct {
	random       *rand.Rand
	instances    []*sharingInstance
	engines      [][]fleetRun // by engine, oldest first
	visible      []map[string]Evidence
	current      map[string]Evidence
	crashed      int
	sent         int   // sound requests
	refused      int   // of these
	sendersAfter int   // instances that would send the poisoned part sharingKnown after the first crash
	bytes        []int // written in each second
	writes       int
	parts        [6]int
}

func newSharingFleet(instances int) *sharingFleet {
	f := &sharingFleet{random: rand.New(rand.NewPCG(3, 4)), engines: make([][]fleetRun, sharingEngines), bytes: make([]int, sharingLength/time.Second)}
	for i := range instances {
		f.instances = append(f.instances, &sharingInstance{finder: NewFinder(fmt.Sprint(i))})
	}
	return f
}

// send sends a request with the part unless it is blocked, and reports whether it is sent.
func (f *sharingFleet) send(now time.Time, engine int, part string) bool {
	run := fleetRun{end: now.Add(sharingAnswer), instance: f.random.IntN(len(f.instances)), engine: engine, parts: []string{part}, digest: fmt.Sprintf("%016d", f.sent)}
	if _, blocked := f.instances[run.instance].finder.Blocked(now, run.request()); blocked {
		return false
	}
	f.engines[engine] = append(f.engines[engine], run)
	return true
}

// endAnswers ends the answers that are whole, and begins those that are due.
func (f *sharingFleet) endAnswers(now time.Time, step time.Duration) {
	for i, runs := range f.engines {
		for len(runs) > 0 && !runs[0].end.After(now) {
			f.instances[runs[0].instance].finder.Answered(now, runs[0].request())
			runs = runs[1:]
		}
		for _, run := range runs {
			if age := now.Sub(run.end.Add(-sharingAnswer)); age >= sharingFirstEvent && age < sharingFirstEvent+step {
				f.instances[run.instance].finder.Began(now, run.request())
			}
		}
		f.engines[i] = runs
	}
}

// crash sends a request with the poisoned part to the next engine, which crashes with all its requests unless the request is blocked.
func (f *sharingFleet) crash(now time.Time, began bool) {
	engine := f.crashed
	if !f.send(now, engine, "poisoned") {
		return
	}
	f.crashed++
	for _, run := range f.engines[engine] {
		begun := now.Sub(run.end.Add(-sharingAnswer)) >= sharingFirstEvent
		if run.parts[0] == "poisoned" {
			begun = began
		}
		f.instances[run.instance].finder.Crashed(now, fmt.Sprint("engine", engine, "@1777385914000"), run.request(), begun)
	}
	f.engines[engine] = nil
}

// share lets each instance write what it saw, if that has changed, and learn what was written sharingDelay ago.
func (f *sharingFleet) share(t *testing.T, now time.Time) {
	next := make(map[string]Evidence, len(f.current))
	for name, evidence := range f.current {
		next[name] = evidence
	}
	for i, instance := range f.instances {
		if len(f.visible) > int(sharingDelay/sharingTick) {
			instance.finder.SetEvidence(now, f.visible[len(f.visible)-1-int(sharingDelay/sharingTick)])
		}
		evidence := instance.finder.Evidence(now, len(f.instances))
		if evidence.IsEmpty() || reflect.DeepEqual(evidence, instance.written) || now.Sub(instance.writtenAt) < WriteInterval(len(f.instances), instance.size) {
			continue
		}
		value, err := evidence.Encode()
		if err != nil {
			t.Fatal(err)
		}
		instance.written, instance.writtenAt, instance.size = evidence, now, len(value)
		next[fmt.Sprint(i)] = evidence
		f.bytes[now.Sub(start)/time.Second] += len(value)
		f.writes++
		for k, r := range [][]Crash{evidence.Crashes, evidence.Cleared, evidence.Answers.Crashes, evidence.Answers.Cleared, evidence.Requests.Crashes, evidence.Requests.Cleared} {
			for _, c := range r {
				f.parts[k] += len(c.Parts)
			}
		}
	}
	f.current = next
	f.visible = append(f.visible, next)
}

// run plays the whole time with engines that crash before the begin of an answer or after it.
func (f *sharingFleet) run(t *testing.T, began bool) {
	const step = 5 * time.Millisecond
	for at := time.Duration(0); at < sharingLength; at += step {
		now := start.Add(at)
		f.endAnswers(now, step)
		for range int(sharingPerSecond * step / time.Second) {
			f.sent++
			if !f.send(now, f.crashed+f.random.IntN(sharingEngines-f.crashed), fmt.Sprint("part", f.random.IntN(sharingParts))) {
				f.refused++
			}
		}
		if at >= sharingCrashAt && (at-sharingCrashAt)%sharingCrashEvery == 0 && f.crashed < sharingCrashes {
			f.crash(now, began)
		}
		if at%sharingTick == 0 {
			f.share(t, now)
		}
		if at == sharingCrashAt+sharingKnown {
			f.sendersAfter = f.sendersOfPoisoned(now)
		}
	}
}

// sendersOfPoisoned returns how many instances would send a request with the poisoned part.
func (f *sharingFleet) sendersOfPoisoned(now time.Time) (senders int) {
	for _, instance := range f.instances {
		if _, blocked := instance.finder.Blocked(now, Request{Parts: []string{"poisoned"}}); !blocked {
			senders++
		}
	}
	return senders
}

// Guards against reports that grow with the fleet, so that they fill the links of the instances that read the store for others and
// all else that the store tells comes late: each instance gets what all others write.
func TestSharingStaysWithinLimits(t *testing.T) {
	const maxBytesInSecond = 2 * maxWriteRate // first writes are not paced
	tests := []struct {
		instances int
		began     bool // whether engines crash after the begin of an answer
		sentEach  int  // sound requests of which one may be refused
	}{
		{195, false, 200},
		{490, false, 200},
		{195, true, 10},
	}
	for _, test := range tests {
		f := newSharingFleet(test.instances)
		f.run(t, test.began)
		name := fmt.Sprint(test.instances, " instances, answers begun: ", test.began)
		t.Logf("%s: %d crashes, %d of %d sound requests refused, %d writes, bytes by second %v", name, f.crashed, f.refused, f.sent, f.writes, f.bytes)
		if got := slices.Max(f.bytes); got > maxBytesInSecond {
			t.Errorf("%s: got %d bytes written in a second, want %d at most", name, got, maxBytesInSecond)
		}
		if f.refused*test.sentEach > f.sent {
			t.Errorf("%s: got %d of %d sound requests refused, want one in %d at most", name, f.refused, f.sent, test.sentEach)
		}
		if f.sendersAfter > 0 {
			t.Errorf("%s: got the poisoned part sent by %d instances %v after the first crash, want it blocked", name, f.sendersAfter, sharingKnown)
		}
	}
}
