package settings

import (
	"strings"
	"testing"
	"time"
)

const sampleGateway = `name = "edge-1"
zone = "a"
[listen]
caller = "10.0.0.1:80"
ready = "10.0.0.1:81"
peer = "10.0.0.1:82"
[store]
address = "10.0.0.9:90"
[stop]
limit = "8s"
`

// TestParseGateway checks that unset fields get their defaults and that the time for the exit is subtracted from the stop timeout.
func TestParseGateway(t *testing.T) {
	got, err := ParseGateway([]byte(sampleGateway))
	if err != nil {
		t.Fatal(err)
	}
	if got.Name != "edge-1" || got.Store.WatchInterval != Duration(500*time.Millisecond) {
		t.Errorf("got %+v, want the name in the file and the default watch interval", got)
	}
	if limit := time.Duration(got.Stop.Timeout); limit >= 8*time.Second || limit < 7*time.Second {
		t.Errorf("stop timeout = %v, want the configured 8s less the time for the exit", limit)
	}
}

// TestParseGatewayProblems checks that the error for an invalid setting names the field or the line.
func TestParseGatewayProblems(t *testing.T) {
	tests := []struct{ name, content, want string }{
		{"no name", strings.Replace(sampleGateway, `"edge-1"`, `""`, 1), "name"},
		{"no port", strings.Replace(sampleGateway, "10.0.0.1:81", "10.0.0.1", 1), "listen.ready"},
		{"no store", strings.Replace(sampleGateway, "10.0.0.9:90", "", 1), "store.address"},
		{"stop timeout too short", strings.Replace(sampleGateway, "8s", "4s", 1), "stop.limit"},
		{"time without unit", strings.Replace(sampleGateway, `"8s"`, `"8"`, 1), "line 10"},
		{"unknown key", sampleGateway + "late = 1\n", "late"},
		{"unknown log level", sampleGateway + "[log]\nlevel = \"loud\"\n", "log.level"},
	}
	for _, test := range tests {
		_, err := ParseGateway([]byte(test.content))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got %v, want a problem with %s", test.name, err, test.want)
		}
	}
}

// Many instances watch one store, so that the watches must be as rare as the delays of the configuration allow: a change
// that passes through another instance takes up to two intervals.
func TestWatchIntervalFollowsDelays(t *testing.T) {
	tests := []struct {
		name, apply, revoke, pace string
		want                      time.Duration
	}{
		{"small deployment", "2s", "5s", "", 500 * time.Millisecond},
		{"large deployment", "4s", "5s", "", time.Second},
		{"very slow", "1m", "1m", "", time.Second},
		{"quick revocation", "4s", "1s", "", 250 * time.Millisecond},
		{"set by the operator", "4s", "5s", "pace = \"300ms\"\n", 300 * time.Millisecond},
	}
	for _, test := range tests {
		content := strings.Replace(sampleGateway, "[stop]\n", test.pace+"[stop]\n", 1)
		parsed, err := ParseGateway([]byte(content + "[key]\napply = \"" + test.apply + "\"\nrevoke = \"" + test.revoke + "\"\n"))
		if err != nil {
			t.Fatal(err)
		}
		if got := time.Duration(parsed.Store.WatchInterval); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against a stop that takes long requests for more than 3 s after the signal because the process handles the signal late.
func TestLagLeavesTimeToHandleTheSignal(t *testing.T) {
	const (
		lastLongRequest = 3 * time.Second        // after the signal
		missedChecks    = 2 * time.Second        // after which the load balancer sends callers elsewhere
		handling        = 150 * time.Millisecond // of the signal, when the processor's share of the interval has been used up
	)
	lag := time.Duration(DefaultGateway().Stop.BalancerLag)
	if lag+handling >= lastLongRequest || lag <= missedChecks {
		t.Errorf("got a lag of %v, want more than %v, and less than %v before %v", lag, missedChecks, handling, lastLongRequest)
	}
}
