package load

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// Instance is one instance as the balancer knows it.
type Instance struct {
	// CallerAddress is the host and port for callers.
	CallerAddress string
	// ReadyAddress is the host and port that answers GET /ready.
	ReadyAddress string
}

// Config configures one run.
type Config struct {
	// Instances are the instances behind the balancer.
	Instances []Instance
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// Seed determines the arrivals.
	Seed uint64
	// Workspaces is the number of workspaces.
	Workspaces int
	// Skew is the exponent of the workspaces' sizes: the share of the n-th is 1/n^Skew of the first's.
	Skew float64
	// PlainShare is the share of plain calls.
	PlainShare float64
	// KeyedShare is the share of plain calls that carry an idempotency key.
	KeyedShare float64
	// Model is the model of the completions.
	Model string
	// Layers is the number of layers of the model.
	Layers int
	// MeanTokens is the mean number of tokens of an answer.
	MeanTokens int
	// Prefixes is the number of prompt prefixes that a workspace shares among its prompts.
	Prefixes int
	// Path is the path of the plain calls.
	Path string
	// Services are the stand-in plain services whose counts of runs are checked at the end.
	Services []string
	// BalancerLag is the time until the balancer acts on a change of readiness.
	BalancerLag time.Duration
	// Timeout is the time after which a caller gives up.
	Timeout time.Duration
}

// Defaults returns a Config without instances.
func Defaults() Config {
	return Config{
		Rate: 50, Duration: 10 * time.Second, Seed: 1, Workspaces: 10, Skew: 1, PlainShare: 0.3,
		Model: "exhibit", Layers: 24, MeanTokens: 32, Prefixes: 4, Path: "/holds",
		BalancerLag: time.Second, Timeout: time.Minute,
	}
}

// ParseInstances reads instances written as HOST:PORT/HOST:PORT.
func ParseInstances(texts []string) ([]Instance, error) {
	instances := make([]Instance, 0, len(texts))
	for _, text := range texts {
		caller, ready, found := strings.Cut(text, "/")
		if !found {
			return nil, fmt.Errorf("--instance = %q: write the addresses for callers and readiness as HOST:PORT/HOST:PORT", text)
		}
		for _, address := range []string{caller, ready} {
			if _, _, err := net.SplitHostPort(address); err != nil {
				return nil, fmt.Errorf("--instance = %q: %q is not HOST:PORT", text, address)
			}
		}
		instances = append(instances, Instance{CallerAddress: caller, ReadyAddress: ready})
	}
	return instances, nil
}

// check returns what is wrong with the configuration, or nil.
func (c Config) check() error {
	checks := []struct {
		ok   bool
		flag string
		fix  string
	}{
		{len(c.Instances) > 0, "instance", "give at least one instance"},
		{c.Rate > 0, "rate", "use a positive number of arrivals per second"},
		{c.Duration > 0, "time", "use a positive time"},
		{c.Workspaces > 0, "workspaces", "use at least one workspace"},
		{c.PlainShare >= 0 && c.PlainShare <= 1, "plain", "use a share from 0 to 1"},
		{c.KeyedShare >= 0 && c.KeyedShare <= 1, "keyed", "use a share from 0 to 1"},
		{c.Layers > 0, "layers", "use the number of layers of the model"},
		{c.MeanTokens > 0, "tokens", "use a positive number of tokens"},
		{c.Prefixes > 0, "prefixes", "use at least one prefix"},
		{strings.HasPrefix(c.Path, "/"), "path", "begin the path with a slash"},
		{c.BalancerLag > 0, "lag", "use a positive time"},
		{c.Timeout > 0, "timeout", "use a positive time"},
	}
	for _, check := range checks {
		if !check.ok {
			return fmt.Errorf("--%s: %s", check.flag, check.fix)
		}
	}
	return nil
}
