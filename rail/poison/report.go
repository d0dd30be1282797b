package poison

import (
	"encoding/json"
	"slices"

	"github.com/juju/errors"
)

// Crash relates the crash of an engine to parts of prompts.
type Crash struct {
	// Engine identifies the incarnation of the engine.
	Engine string `json:"engine"`
	// Parts lists the parts.
	Parts []string `json:"parts"`
}

// Report holds crashes that one instance saw before answers had begun, or before they were whole.
type Report struct {
	// Crashes lists the crashes, oldest first, with the parts of the prompts under which the engines may have crashed.
	Crashes []Crash `json:"crashes,omitempty"`
	// Cleared lists crashes with the parts that did not cause them, nor those that became known before, since other engines have
	// survived them.
	Cleared []Crash `json:"cleared,omitempty"`
}

// isEmpty reports whether there is nothing to tell.
func (r Report) isEmpty() bool { return len(r.Crashes)+len(r.Cleared) == 0 }

// sharesContent reports whether the report is the other one or a copy of it that shares its slices.
func (r Report) sharesContent(other Report) bool {
	return sameSlice(r.Crashes, other.Crashes) && sameSlice(r.Cleared, other.Cleared)
}

func sameSlice(a, b []Crash) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// check returns an error if the report holds more than maxCrashes crashes, or a crash more than maxParts parts.
func (r Report) check() error {
	if len(r.Crashes) > maxCrashes {
		return errors.Errorf("%d crashes are more than %d", len(r.Crashes), maxCrashes)
	}
	for _, crash := range r.Crashes {
		if len(crash.Parts) > maxParts {
			return errors.Errorf("%d parts of a crash are more than %d", len(crash.Parts), maxParts)
		}
	}
	return nil
}

// Evidence is what one instance saw.
type Evidence struct {
	// Report is about engines that crashed before answers had begun.
	Report
	// Answers is about engines that crashed before answers were whole.
	Answers Report `json:"answers,omitzero"`
	// Requests is about engines and other servers that crashed before answers were whole, with the digests of the requests as parts.
	Requests Report `json:"requests,omitzero"`
}

// IsEmpty reports whether there is nothing to tell.
func (e Evidence) IsEmpty() bool { return e.isEmpty() && e.Answers.isEmpty() && e.Requests.isEmpty() }

// Engines returns the engines and other servers that crashed.
func (e Evidence) Engines() (engines map[string]bool) {
	engines = make(map[string]bool)
	for _, crash := range slices.Concat(e.Crashes, e.Answers.Crashes, e.Requests.Crashes) {
		engines[crash.Engine] = true
	}
	return engines
}

// Encode returns the evidence as it is stored.
func (e Evidence) Encode() (value []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "encode crash report")
	return json.Marshal(e)
}

// DecodeEvidence decodes stored evidence. It returns an error if the value isn't valid JSON, or if a report holds more than
// maxCrashes crashes or a crash more than maxParts parts.
func DecodeEvidence(value []byte) (evidence Evidence, err error) {
	defer errors.DeferredAnnotatef(&err, "decode crash report")
	if err = json.Unmarshal(value, &evidence); err != nil {
		return evidence, err
	}
	if err = evidence.check(); err != nil {
		return evidence, err
	}
	if err = evidence.Answers.check(); err != nil {
		return evidence, err
	}
	return evidence, evidence.Requests.check()
}
