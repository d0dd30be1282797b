package settings

import (
	"net"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// Gateway holds the settings of the gateway mode (command gateway), which routes with a configuration that it watches in a
// store; Settings holds those of the router mode (command run).
type Gateway struct {
	// Name is the unique name of the instance in the fleet.
	Name string `toml:"name"`
	// Zone is the availability zone of the instance.
	Zone string `toml:"zone"`
	// Listen holds the addresses to listen on.
	Listen Listen `toml:"listen"`
	// Store configures the access to the store.
	Store Store `toml:"store"`
	// ConfigDelays limits the delay of configuration changes, also while the store cannot be reached.
	ConfigDelays ConfigDelays `toml:"key"`
	// RetryBudget limits the requests that are sent to a second backend server.
	RetryBudget RetryBudget `toml:"repeat"`
	// Stop configures the graceful shutdown of the instance.
	Stop Stop `toml:"stop"`
	// Memory limits the memory of the process.
	Memory Memory `toml:"memory"`
	// Log configures the log.
	Log Log `toml:"log"`
}

// Listen holds the addresses to listen on in gateway mode.
type Listen struct {
	// Caller is the host:port for callers.
	Caller string `toml:"caller"`
	// Ready is the host:port for the load balancer's readiness checks and for operators, who get the metrics and the state
	// there.
	Ready string `toml:"ready"`
	// Peer is the host:port for other instances, over both TCP and UDP.
	Peer string `toml:"peer"`
}

// Store configures the access to the store in gateway mode.
type Store struct {
	// Address is the host:port of the store.
	Address string `toml:"address"`
	// WatchInterval is the time between two refreshes of the store's content; instances that read the store for others watch
	// it twice in that time. If it is not set, it follows from ConfigDelays, which hold only up to that default.
	WatchInterval Duration `toml:"pace"`
}

// ConfigDelays limits the delay of configuration changes in gateway mode, also while the store cannot be reached.
type ConfigDelays struct {
	// MaxRevocationDelay is the time within which every instance must reject a removed API key.
	MaxRevocationDelay Duration `toml:"revoke"`
	// MaxApplyDelay is the time within which a new configuration must be in force. If the store has not confirmed the
	// configuration for longer, unknown routes and keys are refused with status 503.
	MaxApplyDelay Duration `toml:"apply"`
}

// RetryBudget limits the requests that all instances together send to a second backend server in gateway mode.
type RetryBudget struct {
	// Ratio is the maximum number of retries as a fraction of the requests to a service.
	Ratio float64 `toml:"ratio"`
	// Burst is the number of retries allowed beyond Ratio in a period.
	Burst float64 `toml:"burst"`
	// Period is the time over which retries are counted.
	Period Duration `toml:"window"`
}

// Memory limits the memory of the process in gateway mode.
type Memory struct {
	// LimitMB is the memory that the process may use, in megabytes; zero means no limit.
	LimitMB int `toml:"limit"`
}

// Default values of the settings of a gateway.
const (
	defaultMaxRevocationDelay = 5 * time.Second
	defaultMaxApplyDelay      = 2 * time.Second
	defaultRetryRatio         = 0.1
	defaultRetryBurst         = 20
	defaultRetryPeriod        = 10 * time.Second
	defaultGatewayBalancerLag = 2800 * time.Millisecond // longer than two checks of the load balancer
	defaultGatewayIdleTimeout = time.Second
	defaultGatewayStopTimeout = 8 * time.Second
)

// Limits of the default of Store.WatchInterval.
const (
	// watchesPerDelay is the number of watches within the shorter of the two ConfigDelays. A change reaches most instances
	// through another one, after up to two watch intervals.
	watchesPerDelay = 4
	// maxDefaultWatchInterval is the longest default.
	maxDefaultWatchInterval = time.Second
)

// defaultWatchInterval returns the watch interval that keeps the configuration within the delays with few calls.
func defaultWatchInterval(delays ConfigDelays) Duration {
	return min(min(delays.MaxApplyDelay, delays.MaxRevocationDelay)/watchesPerDelay, Duration(maxDefaultWatchInterval))
}

// exitDuration is the part of Stop.Timeout that is reserved for the exit of the process.
const exitDuration = 700 * time.Millisecond

// DefaultGateway returns the default settings of a gateway.
func DefaultGateway() Gateway {
	return Gateway{
		ConfigDelays: ConfigDelays{MaxRevocationDelay: Duration(defaultMaxRevocationDelay), MaxApplyDelay: Duration(defaultMaxApplyDelay)},
		RetryBudget:  RetryBudget{Ratio: defaultRetryRatio, Burst: defaultRetryBurst, Period: Duration(defaultRetryPeriod)},
		Stop:         Stop{BalancerLag: Duration(defaultGatewayBalancerLag), IdleTimeout: Duration(defaultGatewayIdleTimeout), Timeout: Duration(defaultGatewayStopTimeout)},
		Log:          Log{Level: logrus.InfoLevel.String()},
	}
}

// LoadGateway reads and validates the settings file of a gateway.
func LoadGateway(path string) (loaded Gateway, err error) {
	defer errors.DeferredAnnotatef(&err, "settings %s", path)
	content, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, err
	}
	return ParseGateway(content)
}

// ParseGateway parses and validates the settings of a gateway. In the result, Stop.Timeout is reduced by
// exitDuration.
func ParseGateway(content []byte) (parsed Gateway, err error) {
	parsed = DefaultGateway()
	if err = decode(content, &parsed); err != nil {
		return Gateway{}, err
	}
	if parsed.Store.WatchInterval == 0 {
		parsed.Store.WatchInterval = defaultWatchInterval(parsed.ConfigDelays)
	}
	if err = joinProblems(parsed.problems()); err != nil {
		return Gateway{}, err
	}
	parsed.Stop.Timeout -= Duration(exitDuration)
	return parsed, nil
}

// problems returns a message for each invalid field, with its value and how to correct it.
func (g Gateway) problems() (problems []string) {
	report := func(field string, value any, fix string) {
		problems = append(problems, formatProblem(field, value, fix))
	}
	if g.Name == "" {
		report("name", g.Name, "use a name that no other instance has")
	}
	addresses := []struct{ field, value string }{
		{"listen.caller", g.Listen.Caller}, {"listen.ready", g.Listen.Ready}, {"listen.peer", g.Listen.Peer}, {"store.address", g.Store.Address},
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			report(address.field, address.value, "use a host and a port, such as \"10.0.0.1:8080\"")
		}
	}
	durations := []struct {
		field string
		value Duration
	}{
		{"store.pace", g.Store.WatchInterval}, {"key.revoke", g.ConfigDelays.MaxRevocationDelay}, {"key.apply", g.ConfigDelays.MaxApplyDelay},
		{"repeat.window", g.RetryBudget.Period}, {"stop.limit", g.Stop.Timeout},
	}
	for _, duration := range durations {
		if duration.value <= 0 {
			report(duration.field, duration.value, "use a time above zero, such as \"1s\"")
		}
	}
	if g.Stop.Timeout <= g.Stop.BalancerLag+g.Stop.IdleTimeout+Duration(exitDuration) {
		report("stop.limit", g.Stop.Timeout, "use at least a second more than stop.lag and stop.idle together")
	}
	if g.RetryBudget.Ratio < 0 || g.RetryBudget.Burst < 0 {
		report("repeat", g.RetryBudget, "use no negative ratio or burst")
	}
	if _, err := logrus.ParseLevel(g.Log.Level); err != nil {
		report("log.level", g.Log.Level, "use debug, info, warn or error")
	}
	return problems
}
