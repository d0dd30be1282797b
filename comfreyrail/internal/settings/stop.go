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

// InstanceList configures the reading of the platform's list of instances.
type InstanceList struct {
	// MaxLag is the greatest time until a change appears in the list.
	MaxLag Duration `toml:"lag"`
}

// Stop configures the planned stop of the instance.
type Stop struct {
	// BalancerLag is the greatest time until the balancer sends nothing more to an instance that is not ready.
	BalancerLag Duration `toml:"lag"`
	// IdleTimeout is the time for which an idle connection waits for its last request before it is closed.
	IdleTimeout Duration `toml:"idle"`
	// Timeout is the time after which requests that are still in progress are cut.
	Timeout Duration `toml:"limit"`
}

// Defaults of the times.
const (
	defaultListLag   = 15 * time.Second
	defaultStopLag   = 10 * time.Second
	defaultStopIdle  = 5 * time.Second
	defaultStopLimit = 5 * time.Minute
)

func defaultList() InstanceList { return InstanceList{MaxLag: Duration(defaultListLag)} }

func defaultStop() Stop {
	return Stop{BalancerLag: Duration(defaultStopLag), IdleTimeout: Duration(defaultStopIdle), Timeout: Duration(defaultStopLimit)}
}

// stopProblems reports the invalid times.
func (s Settings) stopProblems(report func(field string, value any, fix string)) {
	if s.InstanceList.MaxLag <= 0 {
		report("list.lag", s.InstanceList.MaxLag, "use the greatest lag of the platform's list, such as \"15s\"")
	}
	if s.Stop.BalancerLag < 0 {
		report("stop.lag", s.Stop.BalancerLag, "use the greatest lag of the balancer, such as \"10s\"")
	}
	if s.Stop.IdleTimeout < 0 {
		report("stop.idle", s.Stop.IdleTimeout, "use a time such as \"30s\"")
	}
	if s.Stop.Timeout <= s.Stop.BalancerLag+s.Stop.IdleTimeout {
		report("stop.limit", s.Stop.Timeout, "use more than stop.lag and stop.idle together")
	}
}
