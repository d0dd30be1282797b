package settings

import (
	"net"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// Gateway are the settings of a process that routes with a configuration watched in a store.
type Gateway struct {
	// Name identifies the instance in the fleet.
	Name string `toml:"name"`
	// Zone is the availability zone of the instance.
	Zone string `toml:"zone"`
	// Listen holds the addresses to listen on.
	Listen Listen `toml:"listen"`
	// Store configures the calls to the store.
	Store Store `toml:"store"`
	// ConfigDelays configures what holds while the store cannot be reached.
	ConfigDelays ConfigDelays `toml:"key"`
	// RetryBudget bounds the requests that are sent to a second backend server.
	RetryBudget RetryBudget `toml:"repeat"`
	// Stop configures the planned stop of the instance.
	Stop Stop `toml:"stop"`
	// Memory bounds the memory of the process.
	Memory Memory `toml:"memory"`
	// Log configures the log.
	Log Log `toml:"log"`
}

// Listen holds the addresses to listen on.
type Listen struct {
	// Caller is the host and port for callers.
	Caller string `toml:"caller"`
	// Ready is the host and port for the balancer's question whether the instance is ready.
	Ready string `toml:"ready"`
	// Peer is the UDP host and port for other instances.
	Peer string `toml:"peer"`
}

// Store configures the calls to the store.
type Store struct {
	// Address is the host and port of the store.
	Address string `toml:"address"`
	// WatchInterval is the least time between two watches.
	WatchInterval Duration `toml:"pace"`
}

// ConfigDelays configures what holds while the store cannot be reached.
type ConfigDelays struct {
	// MaxRevocationDelay is the time within which a removed key must stop to work at every instance.
	MaxRevocationDelay Duration `toml:"revoke"`
	// MaxApplyDelay is the time within which a configuration must be in force.
	MaxApplyDelay Duration `toml:"apply"`
}

// RetryBudget bounds the requests that are sent to a second backend server, over all instances.
type RetryBudget struct {
	// Ratio is the part of the requests to a service.
	Ratio float64 `toml:"ratio"`
	// Burst is the number of repeats beyond that in a window.
	Burst float64 `toml:"burst"`
	// Window is the time over which repeats are counted.
	Window Duration `toml:"window"`
}

// Memory bounds the memory of the process.
type Memory struct {
	// LimitMB is the memory that the process may take, in megabytes; zero sets no limit.
	LimitMB int `toml:"limit"`
}

// Defaults of the gateway's settings.
const (
	defaultPace         = 500 * time.Millisecond
	defaultRevoke       = 5 * time.Second
	defaultApply        = 2 * time.Second
	defaultRepeatRatio  = 0.1
	defaultRepeatBurst  = 20
	defaultRepeatWindow = 10 * time.Second
	defaultGatewayLag   = 3 * time.Second
	defaultGatewayIdle  = time.Second
	defaultGatewayLimit = 8 * time.Second
	// exitTime is the part of the time for a stop that ending the process takes.
	exitTime = 700 * time.Millisecond
)

// DefaultGateway returns the settings that apply where the file sets none.
func DefaultGateway() Gateway {
	return Gateway{
		Store:        Store{WatchInterval: Duration(defaultPace)},
		ConfigDelays: ConfigDelays{MaxRevocationDelay: Duration(defaultRevoke), MaxApplyDelay: Duration(defaultApply)},
		RetryBudget:  RetryBudget{Ratio: defaultRepeatRatio, Burst: defaultRepeatBurst, Window: Duration(defaultRepeatWindow)},
		Stop:         Stop{BalancerLag: Duration(defaultGatewayLag), IdleTimeout: Duration(defaultGatewayIdle), Timeout: Duration(defaultGatewayLimit)},
		Log:          Log{Level: logrus.InfoLevel.String()},
	}
}

// LoadGateway reads and checks the settings in the file.
func LoadGateway(path string) (loaded Gateway, err error) {
	defer errors.DeferredAnnotatef(&err, "settings %s", path)
	content, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, err
	}
	return ParseGateway(content)
}

// ParseGateway reads and checks the settings of a gateway written in TOML.
func ParseGateway(content []byte) (parsed Gateway, err error) {
	parsed = DefaultGateway()
	if err = decode(content, &parsed); err != nil {
		return Gateway{}, err
	}
	if err = joined(parsed.problems()); err != nil {
		return Gateway{}, err
	}
	parsed.Stop.Timeout -= Duration(exitTime)
	return parsed, nil
}

// problems returns a line for each invalid field, with its value and how to mend it.
func (g Gateway) problems() (problems []string) {
	report := func(field string, value any, fix string) {
		problems = append(problems, problem(field, value, fix))
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
	times := []struct {
		field string
		value Duration
	}{
		{"store.pace", g.Store.WatchInterval}, {"key.revoke", g.ConfigDelays.MaxRevocationDelay}, {"key.apply", g.ConfigDelays.MaxApplyDelay},
		{"repeat.window", g.RetryBudget.Window}, {"stop.limit", g.Stop.Timeout},
	}
	for _, limit := range times {
		if limit.value <= 0 {
			report(limit.field, limit.value, "use a time above zero, such as \"1s\"")
		}
	}
	if g.Stop.Timeout <= g.Stop.BalancerLag+g.Stop.IdleTimeout+Duration(exitTime) {
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
