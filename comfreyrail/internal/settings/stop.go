package settings

import "time"

// Duration is a time.Duration that is written with its unit in TOML, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration such as "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// InstanceList configures the use of the platform's list of instances.
type InstanceList struct {
	// MaxLag is the maximum time until a change appears in the list.
	MaxLag Duration `toml:"lag"`
}

// Stop configures the graceful shutdown of the instance.
type Stop struct {
	// BalancerLag is the maximum time for which the load balancer still opens connections to an instance that is not ready.
	BalancerLag Duration `toml:"lag"`
	// IdleTimeout is the time for which an idle connection waits for a last request before it is closed.
	IdleTimeout Duration `toml:"idle"`
	// Timeout is the time after which the requests still in progress are aborted.
	Timeout Duration `toml:"limit"`
}

// Default durations.
const (
	defaultMaxListLag  = 15 * time.Second
	defaultBalancerLag = 10 * time.Second
	defaultIdleTimeout = 5 * time.Second
	defaultStopTimeout = 5 * time.Minute
)

func defaultInstanceList() InstanceList { return InstanceList{MaxLag: Duration(defaultMaxListLag)} }

func defaultStop() Stop {
	return Stop{BalancerLag: Duration(defaultBalancerLag), IdleTimeout: Duration(defaultIdleTimeout), Timeout: Duration(defaultStopTimeout)}
}

// validateTimes reports the invalid durations.
func (s Settings) validateTimes(report func(field string, value any, fix string)) {
	if s.InstanceList.MaxLag <= 0 {
		report("list.lag", s.InstanceList.MaxLag, "use a time above zero, the maximum lag of the platform's list, such as \"15s\"")
	}
	if s.Stop.BalancerLag < 0 {
		report("stop.lag", s.Stop.BalancerLag, "use a time that is not negative, the maximum lag of the load balancer, such as \"10s\"")
	}
	if s.Stop.IdleTimeout < 0 {
		report("stop.idle", s.Stop.IdleTimeout, "use a time that is not negative, such as \"30s\"")
	}
	if s.Stop.Timeout <= s.Stop.BalancerLag+s.Stop.IdleTimeout {
		report("stop.limit", s.Stop.Timeout, "use more than stop.lag and stop.idle together")
	}
}
