package poison

import "time"

// minAnswerCrashes is the number of engines that must have crashed under a part before their answers were whole. It is larger than
// MinCrashes, since more requests are being answered at an engine than are waiting for the begin of an answer.
const minAnswerCrashes = 3

// Finder decides which requests are blocked. It finds the parts under which engines crash before an answer begins, and those under
// which they crash before an answer is whole. Its methods must not be called concurrently.
type Finder struct {
	begins  *Detector
	answers *Detector
}

// NewFinder returns a Finder of the instance with the name.
func NewFinder(self string) *Finder {
	begins := New(Config{Name: self, MinCrashes: MinCrashes})
	answers := New(Config{Name: self, MinCrashes: minAnswerCrashes, IsExplained: begins.explains})
	return &Finder{begins: begins, answers: answers}
}

// Began records that an answer to a prompt with the parts has begun.
func (f *Finder) Began(now time.Time, parts []string) { f.begins.Survived(now, parts) }

// Answered records that a prompt with the parts has been answered, or that the answer has gone on for so long that its engine will not
// crash because of them.
func (f *Finder) Answered(now time.Time, parts []string) { f.answers.Survived(now, parts) }

// Crashed records that an engine has crashed before a request with the parts was answered, and whether the answer had begun.
func (f *Finder) Crashed(now time.Time, engine string, parts []string, began bool) {
	if !began {
		f.begins.Crashed(now, engine, parts)
	}
	f.answers.Crashed(now, engine, parts)
}

// SetEvidence replaces the evidence of all instances, by their names.
func (f *Finder) SetEvidence(now time.Time, evidence map[string]Evidence) {
	begins, answers := make(map[string]Report, len(evidence)), make(map[string]Report, len(evidence))
	for name, seen := range evidence {
		begins[name], answers[name] = seen.Report, seen.Answers
	}
	f.begins.SetReports(now, begins)
	f.answers.SetReports(now, answers)
}

// Heard records crashes of which another instance tells at once.
func (f *Finder) Heard(now time.Time, from string, evidence Evidence) {
	f.begins.Heard(now, from, evidence.Crashes)
	f.answers.Heard(now, from, evidence.Answers.Crashes)
}

// CrashOf returns what this instance has to announce of the crash of an engine: the parts of the prompts whose answers had not begun.
// Answers that had begun say little at once, as most of them had another part; they are left to Evidence.
func (f *Finder) CrashOf(engine string) (evidence Evidence) {
	if crash, ok := f.begins.SeenCrash(engine); ok {
		evidence.Crashes = []Crash{crash}
	}
	return evidence
}

// Evidence returns what this instance has to tell the others. The number of live instances, this one included, decides how long it
// waits for others to tell the same.
func (f *Finder) Evidence(now time.Time, instances int) Evidence {
	return Evidence{Report: f.begins.Report(now, instances), Answers: f.answers.Report(now, instances)}
}

// Blocked returns a poisoned part because of which a request with the parts must not be sent, and false if there is none.
func (f *Finder) Blocked(now time.Time, parts []string) (part string, ok bool) {
	if part, ok = f.begins.Blocked(now, parts); ok {
		return part, true
	}
	return f.answers.Blocked(now, parts)
}
