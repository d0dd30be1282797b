package proptest

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// defaultSeed is the seed of runs without the flag rapid.seed, so that every run has the same result.
const defaultSeed = "20261204"

// shrinkTime is the maximum time for shrinking a failing history.
const shrinkTime = "5s"

// Tally counts what one property test did in all its histories.
type Tally struct {
	// Histories is the number of random histories, each a sequence of steps and faults.
	Histories int
	// Operations is the number of operations in all histories; each test counts its own kind, such as steps or requests.
	Operations int
	// Violations is the number of calls of Failf.
	Violations int

	counts map[string]int
}

// Count counts one occurrence of the given kind, such as an injected fault or a recovery from one.
func (t *Tally) Count(kind string) { t.counts[kind]++ }

// CountOf returns the number of occurrences of the given kind.
func (t *Tally) CountOf(kind string) int { return t.counts[kind] }

// Failf counts a violation and ends the history as failed, with a formatted message.
func (t *Tally) Failf(rt *rapid.T, format string, args ...any) {
	t.Violations++
	rt.Fatalf(format, args...)
}

// String returns the counts on one line, with those of Count sorted by kind.
func (t *Tally) String() string {
	kinds := make([]string, 0, len(t.counts))
	for kind, count := range t.counts {
		kinds = append(kinds, fmt.Sprintf("%s:%d", kind, count))
	}
	sort.Strings(kinds)
	return fmt.Sprintf("checks=%d operations=%d faults=[%s] violations=%d", t.Histories, t.Operations, strings.Join(kinds, " "), t.Violations)
}

// Run calls property, each call for one random history, as often as the flag rapid.checks sets, and prints the tally on a line
// that begins with "prove".
//
// The seed is the flag rapid.seed or else a fixed one, so that every run has the same result.
func Run(t *testing.T, name string, property func(rt *rapid.T, tally *Tally)) {
	t.Helper()
	setRapidFlags(t)
	tally := &Tally{counts: make(map[string]int)}
	defer func() {
		_, _ = fmt.Fprintf(os.Stdout, "prove %s: %s\n", name, tally)
	}()
	rapid.Check(t, func(rt *rapid.T) {
		tally.Histories++
		property(rt, tally)
	})
}

// setRapidFlags sets the default seed unless the command line sets one, disables rapid's failure files and limits shrinking.
func setRapidFlags(t *testing.T) {
	t.Helper()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", defaultSeed); err != nil {
			t.Fatal(err)
		}
	}
	settings := []struct{ name, value string }{{"rapid.nofailfile", "true"}, {"rapid.shrinktime", shrinkTime}}
	for _, setting := range settings {
		if err := flag.Set(setting.name, setting.value); err != nil {
			t.Fatal(err)
		}
	}
}
