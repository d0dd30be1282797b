package stop

import (
	"testing"
	"time"
)

// Guards against a connection that the exit closes without a response: a request in flight on it got a reset.
func TestIdleConnectionsAreEndedBeforeExit(t *testing.T) {
	config := Config{BalancerLag: time.Second, IdleTimeout: time.Minute, Timeout: 5 * time.Second}
	const connection = 1
	tests := []struct {
		name      string
		idleSince time.Duration // when the connection became idle, since the first stop signal
		forcedAt  time.Duration // when the second stop signal arrives, zero if it doesn't
		wantEnded time.Duration
	}{
		{"idle before the stop", 0, 0, config.Timeout - closeTime},
		{"idle shortly before the timeout", config.Timeout - closeTime/2, 0, config.Timeout - closeTime/2},
		{"idle at the timeout", config.Timeout, 0, config.Timeout},
		{"idle at the second signal", 0, 2 * time.Second, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(0, 0)
			m := New(config)
			m.Open(connection, start)
			m.StartRead(connection, start)
			m.RequestStop(start)
			ended, exited := time.Duration(-1), false
			for at := time.Duration(0); at <= config.Timeout && !exited; at += 10 * time.Millisecond {
				if at == test.idleSince {
					m.SetIdle(connection, start.Add(at))
				}
				if test.forcedAt > 0 && at == test.forcedAt {
					m.RequestStop(start.Add(at))
				}
				for _, action := range m.Step(start.Add(at)) {
					exited = exited || action.Kind == Exit
					if action.Kind == EndConnection && !exited {
						ended = at
						m.End(connection)
					}
				}
			}
			if ended != test.wantEnded {
				t.Errorf("got the connection ended at %s, want %s", ended, test.wantEnded)
			}
			if !exited {
				t.Error("got no exit, want one at the timeout")
			}
		})
	}
}
