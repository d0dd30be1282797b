package forward

import (
	"context"
	"os"
	"os/exec"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// panickingProbe is the environment variable that names the probe that panics in the process of a test.
const panickingProbe = "TEST_PANICKING_PROBE"

// Guards against a panic in a probe of an engine that ends the process with all requests in progress: probes run in goroutines of their
// own, from which net/http doesn't recover.
func TestPanicOfProbeKeepsProcess(t *testing.T) {
	if probe := os.Getenv(panickingProbe); probe != "" {
		sendBesidePanickingProbe(t, probe)
		return
	}
	for _, probe := range []string{"end of a connection", "silence"} {
		t.Run(probe, func(t *testing.T) {
			t.Parallel()
			command := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestPanicOfProbeKeepsProcess$")
			command.Env = append(os.Environ(), panickingProbe+"="+probe)
			if output, err := command.CombinedOutput(); err != nil {
				t.Errorf("got the end of the process (%v), want it to go on:\n%.300s", err, output)
			}
		})
	}
}

// sendBesidePanickingProbe sends a request whose engine ends the connection or is silent, and is probed.
func sendBesidePanickingProbe(t *testing.T, probe string) {
	t.Helper()
	broken := func() { panic("broken") }
	respond := closeConnection
	options := gatewayOptions{
		config: func(config *route.Config) {
			useEngines(config)
			config.Routes[2].MaxAttempts = 1
		},
		ended: func(context.Context, backend.Server, poison.Request, bool) (crashed bool) {
			broken()
			return true
		},
	}
	if probe == "silence" {
		respond = respondNothing
		options.state = func(context.Context, backend.Server) (state backend.State, err error) {
			broken()
			return state, nil
		}
	}
	one := newServer(t, "one", respond)
	one.card = "card"
	g := newGatewayWith(t, options, one)
	_ = g.sendPrompt(t, "r1", "shared", "own")
}
