package settings

import "time"

// Duration is a time that is written with its unit, such as "1.5s".
type Duration time.Duration

// UnmarshalText reads a time such as "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// String returns the time with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// List configures the reading of the platform's list of instances.
type List struct {
	// Lag is the greatest time until a change appears in the list.
	Lag Duration `toml:"lag"`
}

// Stop configures the planned stop of the instance.
type Stop struct {
	// Lag is the greatest time until the balancer sends nothing more to an instance that is not ready.
	Lag Duration `toml:"lag"`
	// Idle is the time for which an idle connection waits for its last request before it is closed.
	Idle Duration `toml:"idle"`
	// Limit is the time after which requests that are still in progress are cut.
	Limit Duration `toml:"limit"`
}

// Defaults of the times.
const (
	defaultListLag   = 15 * time.Second
	defaultStopLag   = 10 * time.Second
	defaultStopIdle  = 5 * time.Second
	defaultStopLimit = 5 * time.Minute
)

func defaultList() List { return List{Lag: Duration(defaultListLag)} }

func defaultStop() Stop {
	return Stop{Lag: Duration(defaultStopLag), Idle: Duration(defaultStopIdle), Limit: Duration(defaultStopLimit)}
}

// stopProblems reports the invalid times.
func (s Settings) stopProblems(report func(field string, value any, fix string)) {
	if s.List.Lag <= 0 {
		report("list.lag", s.List.Lag, "use the greatest lag of the platform's list, such as \"15s\"")
	}
	if s.Stop.Lag < 0 {
		report("stop.lag", s.Stop.Lag, "use the greatest lag of the balancer, such as \"10s\"")
	}
	if s.Stop.Idle < 0 {
		report("stop.idle", s.Stop.Idle, "use a time such as \"30s\"")
	}
	if s.Stop.Limit <= s.Stop.Lag+s.Stop.Idle {
		report("stop.limit", s.Stop.Limit, "use more than stop.lag and stop.idle together")
	}
}
