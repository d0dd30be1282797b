package load

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// Instance holds the addresses of one instance behind the load balancer.
type Instance struct {
	// CallerAddress is the host and port to which requests are sent.
	CallerAddress string
	// ReadyAddress is the host and port that serves GET /ready.
	ReadyAddress string
}

// Config configures one run.
type Config struct {
	// Instances are the instances behind the load balancer.
	Instances []Instance
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// Seed is the seed of the random arrivals; runs with the same configuration differ only in the run
	// id, which is part of prompts and call ids.
	Seed uint64
	// Workspaces is the number of workspaces.
	Workspaces int
	// Skew is the exponent of the workspaces' shares of the requests: the share of the n-th workspace is 1/n^Skew of the
	// share of the first; zero makes all shares equal.
	Skew float64
	// PlainShare is the share of plain calls among the requests, from 0 to 1; all others are streamed completions.
	PlainShare float64
	// KeyedShare is the share of plain calls that carry an idempotency key, from 0 to 1.
	KeyedShare float64
	// Model is the name of the model in completion requests.
	Model string
	// Layers is the number of layers of the model; the expected tokens are computed from it.
	Layers int
	// MeanTokens is the mean number of tokens of an answer.
	MeanTokens int
	// Prefixes is the number of prompt prefixes that the prompts of one workspace share.
	Prefixes int
	// Path is the URL path of the plain calls; it begins with a slash.
	Path string
	// Services are the addresses of the stand-in plain services whose run counts are checked at the end.
	Services []string
	// BalancerLag is the longest time until the load balancer applies a change of readiness, without the time of the probe.
	BalancerLag time.Duration
	// Timeout is the timeout of one request, from the time at which it is sent to the end of the answer.
	Timeout time.Duration
}

// Defaults returns the default configuration, which has no instances.
func Defaults() Config {
	return Config{
		Rate: 50, Duration: 10 * time.Second, Seed: 1, Workspaces: 10, Skew: 1, PlainShare: 0.3,
		Model: "exhibit", Layers: 24, MeanTokens: 32, Prefixes: 4, Path: "/holds",
		BalancerLag: time.Second, Timeout: time.Minute,
	}
}

// ParseInstances parses instances written as CALLER/READY, where each of the two addresses is HOST:PORT.
//
// It returns an error if one of the texts does not have this form.
func ParseInstances(texts []string) ([]Instance, error) {
	instances := make([]Instance, 0, len(texts))
	for _, text := range texts {
		caller, ready, found := strings.Cut(text, "/")
		if !found {
			return nil, fmt.Errorf("--instance = %q: write the caller address and the readiness address as HOST:PORT/HOST:PORT", text)
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

// validate returns an error that names the first invalid flag, or nil.
func (c Config) validate() error {
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
