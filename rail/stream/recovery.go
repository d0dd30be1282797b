package stream

import (
	"math/rand"
	"slices"
	"sort"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// Strategy is a way to go on with an answer.
type Strategy int

const (
	// FirstAttempt is the first attempt of an answer.
	FirstAttempt Strategy = iota
	// SameChain resumes on the same chain over new connections.
	SameChain
	// ReplaceStages puts other backend servers in the place of some stages.
	ReplaceStages
	// Rechain resumes on a new chain from the prompt and the tokens delivered.
	Rechain
	// RetryLater means that no chain is available now and that it is worth asking again.
	RetryLater
	// GiveUp means that the answer cannot be completed.
	GiveUp
)

// String returns the name of the way.
func (w Strategy) String() string {
	return [...]string{"begin", "same", "replace", "rechain", "later", "giveup"}[w]
}

// Step is how to go on.
type Step struct {
	// Strategy is the way to go on.
	Strategy Strategy
	// Plan is the chain of the next attempt.
	Plan chain.Plan
	// Imports holds for each stage the address that exports its KV cache, or nothing.
	Imports []string
	// At is when to take the step.
	At time.Time
	// Code names the reason of a GiveUp.
	Code outcome.Code
	// Reason explains a GiveUp to people.
	Reason string
}

// StageStatus is what is known about one stage of the failed attempt.
type StageStatus struct {
	// Failed tells that the stage did not answer, refused or ran what it should not.
	Failed bool
	// Suspect tells that the stage answered but did not get what the stage before it passed on.
	Suspect bool
	// CanExport tells that the stage is alive and its KV cache can be trusted.
	CanExport bool
}

// RecoveryConfig configures a Recovery.
type RecoveryConfig struct {
	// Choose chooses a chain.
	Choose func(servers []chain.Server, request chain.Request) (chain.Plan, bool)
	// Request describes the request for Choose.
	Request chain.Request
	// Rand spreads the retries of many streams.
	Rand *rand.Rand
	// Allow reports whether the pool can bear one more attempt after one without a new token; nil allows all.
	Allow func(now time.Time) bool
	// MaxAttemptsWithoutProgress is the number of attempts in a row without a new token before giving up.
	MaxAttemptsWithoutProgress int
	// BaseBackoff is the wait before the second attempt in a row without a new token; it doubles with each.
	BaseBackoff time.Duration
	// MaxBackoff is the longest wait.
	MaxBackoff time.Duration
	// Cooldown is how long a backend server is avoided after its first failure; it grows with each.
	Cooldown time.Duration
	// MaxChainWait is how long to wait for a chain to become available.
	MaxChainWait time.Duration
	// TakeRetry takes one attempt from a budget after an attempt without a new token; nil allows every attempt.
	TakeRetry func() bool
	// RechainAlways answers every failure with a Rechain that avoids the whole chain and imports nothing, for comparisons.
	RechainAlways bool
}

// Recovery decides how to go on after a failure; it is not safe for concurrent use.
type Recovery struct {
	config RecoveryConfig

	avoid     map[string]mark
	fruitless int
	delivered int
	same      int
	noneSince time.Time
}

// NewRecovery returns a Recovery.
func NewRecovery(config RecoveryConfig) *Recovery {
	return &Recovery{config: config, avoid: make(map[string]mark)}
}

// Begin chooses the chain for the first attempt.
func (r *Recovery) Begin(now time.Time, servers []chain.Server) Step {
	plan, ok := r.choose(now, servers)
	if !ok {
		return Step{Strategy: GiveUp, Code: outcome.CodeNoServer, Reason: "no chain of backend servers covers every layer"}
	}
	return Step{Strategy: FirstAttempt, Plan: plan, At: now}
}

// AttemptFailure describes a failed attempt.
type AttemptFailure struct {
	// Plan is the chain of the attempt.
	Plan chain.Plan
	// Stages says what is known about each stage.
	Stages []StageStatus
	// Delivered is the number of tokens delivered so far.
	Delivered int
	// Reason says why the attempt failed.
	Reason string
}

// maxSame is the number of times in a row that a chain is resumed without a new token.
const maxSame = 1

// Decide returns the step after a failed attempt.
func (r *Recovery) Decide(now time.Time, failure AttemptFailure, servers []chain.Server) Step {
	r.fruitless++
	if failure.Delivered > r.delivered {
		r.fruitless, r.same, r.delivered = 0, 0, failure.Delivered
	}
	if r.fruitless >= r.config.MaxAttemptsWithoutProgress {
		return Step{Strategy: GiveUp, Code: outcome.CodeBackend, Reason: failure.Reason}
	}
	if r.config.RechainAlways {
		for i := range failure.Stages {
			failure.Stages[i] = StageStatus{Failed: true}
		}
	}
	if !slices.ContainsFunc(failure.Stages, func(stage StageStatus) bool { return stage.Failed }) {
		if r.same < maxSame && r.allowed(now) {
			r.same++
			return Step{Strategy: SameChain, Plan: failure.Plan, At: now.Add(r.backoff())}
		}
		suspects := slices.ContainsFunc(failure.Stages, func(stage StageStatus) bool { return stage.Suspect })
		condemn(failure.Stages, func(stage StageStatus) bool { return stage.Suspect || !suspects })
	}
	for i, stage := range failure.Stages {
		if stage.Failed {
			r.shun(now, failure.Plan.Hops[i].Server)
		}
	}
	return r.ChangeChain(now, failure, servers)
}

// condemn marks the stages that match as bad.
func condemn(stages []StageStatus, match func(StageStatus) bool) {
	for i := range stages {
		stages[i].Failed = stages[i].Failed || match(stages[i])
	}
}

// ChangeChain returns the step with a changed chain; it is also asked again after RetryLater.
func (r *Recovery) ChangeChain(now time.Time, failure AttemptFailure, servers []chain.Server) Step {
	if failure.Delivered > 0 {
		servers = ofVersion(servers, failure.Plan.Version)
	}
	if !r.allowed(now) {
		return r.wait(now, failure)
	}
	r.same = 0
	step := Step{At: now.Add(r.backoff())}
	var ok bool
	if step.Plan, ok = r.replace(now, failure, servers); ok {
		step.Strategy = ReplaceStages
	} else if step.Plan, ok = r.choose(now, servers); ok {
		step.Strategy = Rechain
	}
	if !ok || r.fruitless > 0 && r.config.TakeRetry != nil && !r.config.TakeRetry() {
		return r.wait(now, failure)
	}
	r.noneSince = time.Time{}
	step.Imports = imports(failure, step.Plan)
	return step
}

// wait returns RetryLater until no chain has been available for too long.
func (r *Recovery) wait(now time.Time, failure AttemptFailure) Step {
	if r.noneSince.IsZero() {
		r.noneSince = now
	}
	if now.Sub(r.noneSince) >= r.config.MaxChainWait {
		return Step{Strategy: GiveUp, Code: outcome.CodeNoServer, Reason: "no chain of backend servers is left: " + failure.Reason}
	}
	return Step{Strategy: RetryLater, At: now.Add(max(r.config.BaseBackoff, r.config.MaxChainWait/laterShare))}
}

// laterShare is the number of times that a chain is sought while there is none.
const laterShare = 20

// allowed reports whether another attempt may be made; one that follows a new token always may.
func (r *Recovery) allowed(now time.Time) bool {
	return r.fruitless == 0 || r.config.Allow == nil || r.config.Allow(now)
}

// backoff returns the wait before the next attempt, none after an attempt that made progress.
func (r *Recovery) backoff() time.Duration {
	if r.fruitless == 0 {
		return 0
	}
	return retry.Backoff(r.config.Rand, r.fruitless, r.config.BaseBackoff, r.config.MaxBackoff)
}

// choose returns a chain without the servers that failed lately, or with those of them that failed least.
func (r *Recovery) choose(now time.Time, servers []chain.Server) (plan chain.Plan, ok bool) {
	request := r.config.Request
	request.Avoid = make(map[string]bool, len(r.avoid))
	var avoided []string
	for server, mark := range r.avoid {
		if now.Before(mark.until) {
			request.Avoid[server] = true
			avoided = append(avoided, server)
		}
	}
	sort.Slice(avoided, func(i, j int) bool { return r.avoid[avoided[i]].before(r.avoid[avoided[j]], avoided[i] < avoided[j]) })
	plan, ok = r.config.Choose(servers, request)
	for i := 0; !ok && i < len(avoided); i++ {
		delete(request.Avoid, avoided[i])
		plan, ok = r.config.Choose(servers, request)
	}
	return plan, ok
}

// mark is what a Recovery remembers of a backend server that failed.
type mark struct {
	failures int
	until    time.Time
}

// before reports whether a server marked m is tried before one marked other; tie decides between equals.
func (m mark) before(other mark, tie bool) bool {
	if m.failures != other.failures {
		return m.failures < other.failures
	}
	if !m.until.Equal(other.until) {
		return m.until.Before(other.until)
	}
	return tie
}

// shun avoids a backend server for a time that grows with its failures.
func (r *Recovery) shun(now time.Time, server string) {
	failures := r.avoid[server].failures + 1
	r.avoid[server] = mark{failures: failures, until: now.Add(r.config.Cooldown * time.Duration(failures))}
}

// replace keeps the good stages and chooses others for the bad ones.
func (r *Recovery) replace(now time.Time, failure AttemptFailure, servers []chain.Server) (plan chain.Plan, ok bool) {
	kept := 0
	var candidates []chain.Server
	for i, hop := range failure.Plan.Hops {
		if failure.Stages[i].Failed {
			candidates = append(candidates, r.substitutes(now, failure.Plan, hop, servers)...)
			continue
		}
		kept++
		candidates = append(candidates, keep(failure.Plan, hop, servers))
	}
	if kept == 0 || kept == len(failure.Plan.Hops) {
		return chain.Plan{}, false
	}
	request := r.config.Request
	request.Avoid = nil
	return r.config.Choose(candidates, request)
}

// keep returns the server of the hop as the only one for its layers.
func keep(plan chain.Plan, hop engine.Hop, servers []chain.Server) chain.Server {
	kept := chain.Server{Name: hop.Server, Address: hop.Address}
	for _, server := range servers {
		if server.Name == hop.Server {
			kept.Zone = server.Zone
		}
	}
	kept.Usable = true
	kept.Status = engine.Status{Server: hop.Server, First: hop.First, Last: hop.Last, Version: plan.Version}
	return kept
}

// substitutes returns the servers that can run the layers of the hop and have not failed lately.
func (r *Recovery) substitutes(now time.Time, plan chain.Plan, hop engine.Hop, servers []chain.Server) []chain.Server {
	var found []chain.Server
	for _, server := range servers {
		status := server.Status
		fits := status.Version == plan.Version && status.First == hop.First && status.Last == hop.Last
		if fits && server.Usable && !plan.Uses(server.Name) && !now.Before(r.avoid[server.Name].until) {
			found = append(found, server)
		}
	}
	return found
}

// ofVersion returns the servers that hold the version.
func ofVersion(servers []chain.Server, version string) []chain.Server {
	var found []chain.Server
	for _, server := range servers {
		if server.Status.Version == version {
			found = append(found, server)
		}
	}
	return found
}

// imports returns where each new stage of the plan finds the KV cache of the stage it replaces.
func imports(failure AttemptFailure, plan chain.Plan) []string {
	sources := make([]string, len(plan.Hops))
	if plan.Version != failure.Plan.Version {
		return sources
	}
	for i, hop := range plan.Hops {
		if failure.Plan.Uses(hop.Server) {
			continue
		}
		for j, old := range failure.Plan.Hops {
			if failure.Stages[j].CanExport && old.First == hop.First && old.Last == hop.Last {
				sources[i] = old.Address
			}
		}
	}
	return sources
}
