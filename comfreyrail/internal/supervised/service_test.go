package supervised

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/thejerf/suture/v4"
)

// failing is a service with a secret that fails once and then ends.
type failing struct {
	Secret string
	calls  int
}

func (f *failing) Serve(context.Context) error {
	if f.calls++; f.calls == 1 {
		return errors.New("failed")
	}
	return suture.ErrTerminateSupervisorTree
}

// Guards against the supervisor's events, which are logged, containing the secrets of a service that fails.
func TestEventsNameTheServiceWithoutItsSecrets(t *testing.T) {
	const secret = "the-fleet's-secret"
	tests := []struct {
		name    string
		service suture.Service
		want    string
		leaks   bool
	}{
		{"without a name", &failing{Secret: secret}, "", true},
		{"named", Named("transport", &failing{Secret: secret}), "transport", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var events strings.Builder
			root := suture.New("root", suture.Spec{EventHook: func(event suture.Event) {
				fmt.Fprintf(&events, "%v %s\n", event.Map(), event)
			}})
			root.Add(test.service)
			_ = root.Serve(context.Background())
			if got := strings.Contains(events.String(), secret); got != test.leaks || !strings.Contains(events.String(), test.want) {
				t.Errorf("got events %q, want the name %q and the secret in them %v", events.String(), test.want, test.leaks)
			}
		})
	}
}
