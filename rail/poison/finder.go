package poison

import "time"

// minAnswerCrashes is the number of engines that must have crashed under a part before their answers were whole. It is larger than
// MinCrashes, since more requests are being answered at an engine than are waiting for the begin of an answer.
const minAnswerCrashes = 3

// MinRequestCrashes is the number of servers that must have crashed under a request before its answer was whole, so that it is blocked.
// With fewer, a sound request that is tried twice would be blocked by chance.
const MinRequestCrashes = 3

// Finder decides which requests are blocked. It finds the parts under which engines crash before an answer begins, those under
// which they crash before an answer is whole, and whole requests under which engines or other servers do. Its methods must not be
// called concurrently.
type Finder struct {
	begins   *Detector
	answers  *Detector
	requests *Detector
	repeats  map[string]repeats // of blocked requests, by digest
}

// NewFinder returns a Finder of the instance with the name.
func NewFinder(self string) *Finder {
	f := &Finder{repeats: make(map[string]repeats)}
	f.begins = New(Config{Name: self, MinCrashes: MinCrashes, IsOutweighed: f.requestOutweighs, IsInDoubt: f.repeatExplains})
	f.answers = New(Config{
		Name: self, MinCrashes: minAnswerCrashes, IsExplained: f.begins.explains, IsOutweighed: f.requestOutweighs, IsInDoubt: f.repeatExplains,
	})
	f.requests = New(Config{
		Name: self, MinCrashes: MinRequestCrashes, WholeRequests: true, IsOutweighed: f.partOutweighs,
		MayBeExplained: func(engine string) bool { return f.begins.knows(engine) || f.answers.knows(engine) },
	})
	return f
}

// requestOutweighs reports whether a request explains all crashes of the engines, and crashes besides.
func (f *Finder) requestOutweighs(engines map[string]bool, _ []string) bool {
	return f.requests.index.outweighs(engines, nil)
}

// partOutweighs reports whether a part that is not among the given ones explains all crashes of the engines: one of prompts whose answers
// had not begun, or one of prompts whose answers were not whole, of which there are far more, that explains crashes besides.
func (f *Finder) partOutweighs(engines map[string]bool, parts []string) bool {
	return f.begins.index.explainsAll(engines, parts, len(engines)) || f.answers.index.outweighs(engines, parts)
}

// Began records that an answer to the request has begun.
func (f *Finder) Began(now time.Time, request Request) { f.begins.Survived(now, request.Parts) }

// Answered records that the request has been answered, or that the answer has gone on for so long that its server will not crash
// because of it.
func (f *Finder) Answered(now time.Time, request Request) {
	f.answers.Survived(now, request.Parts)
	if request.Digest != "" {
		f.requests.Survived(now, []string{request.Digest})
	}
}

// Crashed records that an engine or another server has crashed before the request was answered, and whether the answer had begun.
func (f *Finder) Crashed(now time.Time, engine string, request Request, began bool) {
	if len(request.Parts) > 0 && !began {
		f.begins.Crashed(now, engine, request.Parts)
	}
	if len(request.Parts) > 0 {
		f.answers.Crashed(now, engine, request.Parts)
	}
	if request.Digest != "" {
		f.requests.RequestCrashed(now, engine, request, began)
	}
}

// SetEvidence replaces the evidence of all instances, by their names.
func (f *Finder) SetEvidence(now time.Time, evidence map[string]Evidence) {
	begins, answers, requests := make(map[string]Report, len(evidence)), make(map[string]Report, len(evidence)), make(map[string]Report, len(evidence))
	for name, seen := range evidence {
		begins[name], answers[name], requests[name] = seen.Report, seen.Answers, seen.Requests
	}
	f.begins.SetReports(now, begins)
	f.answers.SetReports(now, answers)
	f.requests.SetReports(now, requests)
}

// Heard records crashes of which another instance tells at once.
func (f *Finder) Heard(now time.Time, from string, evidence Evidence) {
	f.begins.Heard(now, from, evidence.Crashes)
	f.answers.Heard(now, from, evidence.Answers.Crashes)
	f.requests.Heard(now, from, evidence.Requests.Crashes)
}

// CrashOf returns what this instance has to announce of the crash of an engine or another server: the parts of the prompts whose
// answers had not begun, and the requests whose answers were not whole, each small enough for a datagram. The parts of answers that had
// begun say little at once, as most of them had another part; they are left to Evidence.
func (f *Finder) CrashOf(engine string) (evidence []Evidence) {
	if crash, ok := f.begins.SeenCrash(engine); ok {
		evidence = append(evidence, Evidence{Report: Report{Crashes: []Crash{crash}}})
	}
	if crash, ok := f.requests.SeenCrash(engine); ok {
		evidence = append(evidence, Evidence{Requests: Report{Crashes: []Crash{crash}}})
	}
	return evidence
}

// Evidence returns what this instance has to tell the others. The number of live instances, this one included, decides how long it
// waits for others to tell the same.
func (f *Finder) Evidence(now time.Time, instances int) Evidence {
	return Evidence{
		Report: f.begins.Report(now, instances), Answers: f.answers.Report(now, instances), Requests: f.requests.Report(now, instances),
	}
}

// Blocked returns why the request must not be sent, and false if it may be.
func (f *Finder) Blocked(now time.Time, request Request) (cause Cause, ok bool) {
	if request.Digest != "" && f.requests.RequestBlocked(now, request) {
		f.countRepeat(now, request.Digest)
		return Cause{Digest: request.Digest}, true
	}
	if cause.Part, ok = f.begins.Blocked(now, request.Parts); ok {
		return cause, true
	}
	cause.Part, ok = f.answers.Blocked(now, request.Parts)
	return cause, ok
}
