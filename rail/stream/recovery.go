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

// Strategy is the kind of a Step.
type Strategy int

const (
	// FirstAttempt is the first attempt of an answer.
	FirstAttempt Strategy = iota
	// SameChain resumes the answer on the same chain over new connections.
	SameChain
	// ReplaceStages resumes the answer on the same chain with other backend servers for some of its stages.
	ReplaceStages
	// NewChain resumes the answer, from the prompt and the tokens already delivered, on a newly chosen chain, whose stages may
	// import the KV cache of stages of the failed one.
	NewChain
	// RetryLater means that no attempt can be started now and that Recovery.ChangeChain is to be called again later.
	RetryLater
	// GiveUp means that the answer cannot be completed.
	GiveUp
)

// String returns the name of the strategy in logs and metrics.
func (s Strategy) String() string {
	return [...]string{"begin", "same", "replace", "rechain", "later", "giveup"}[s]
}

// Step describes the next attempt of an answer, the wait before one, or the end without a complete answer.
type Step struct {
	// Strategy is the strategy of the step.
	Strategy Strategy
	// Chain is the chain of the next attempt.
	Chain chain.Chain
	// Imports holds, for each stage, the address from which it can import its KV cache, or an empty string.
	Imports []string
	// At is the time at which to start the step.
	At time.Time
	// Code is the error code of a GiveUp.
	Code outcome.Code
	// Reason describes the cause of a GiveUp for humans.
	Reason string
}

// StageStatus is the state of one stage of a failed attempt.
type StageStatus struct {
	// Failed reports whether the stage did not respond, refused the request or ran something other than its part of the chain.
	Failed bool
	// Suspected reports whether the previous stage forwarded an activation that this stage has not reported as received.
	Suspected bool
	// CanExport reports whether the stage is alive and its KV cache can be trusted, so that other stages may import it.
	CanExport bool
}

// RecoveryConfig configures a Recovery.
type RecoveryConfig struct {
	// Choose returns a chain for the request and reports whether there is one.
	Choose func(servers []chain.Server, request chain.Request) (chain.Chain, bool)
	// Request is the request that is passed to Choose, apart from Avoid.
	Request chain.Request
	// Rand is the source of the jitter in the backoff, which spreads the retries of many streams.
	Rand *rand.Rand
	// TakeAttempt takes one attempt from the pool's attempt budget and reports whether the budget allows it; nil allows every
	// attempt. It is called before each attempt that follows one without a new token, a SameChain included. An attempt
	// is not returned to the budget if it then cannot be started, for example because there is no chain.
	TakeAttempt func(now time.Time) bool
	// MaxAttemptsWithoutProgress is the number of attempts in a row without a new token after which the answer is abandoned.
	MaxAttemptsWithoutProgress int
	// BaseBackoff is the backoff after the first attempt without a new token. It doubles with each further one in a row.
	BaseBackoff time.Duration
	// MaxBackoff is the maximum backoff.
	MaxBackoff time.Duration
	// Cooldown is how long a backend server is avoided after its first failure; after its nth failure it is n times as long.
	Cooldown time.Duration
	// MaxChainWait is the time after which the answer is abandoned if no attempt could be started.
	MaxChainWait time.Duration
	// TakeRetry takes one retry from the retry budget and reports whether the budget allows it; nil allows every attempt,
	// unlike in outcome.RetryPolicy. It is called before each attempt that follows one without a new token, except a
	// SameChain.
	TakeRetry func() bool
	// AlwaysNewChain makes every recovery a NewChain that avoids all servers of the failed chain and imports no KV cache. It is
	// meant for comparisons in experiments.
	AlwaysNewChain bool
}

// Recovery decides how to continue an answer after a failed attempt. It is not safe for concurrent use.
type Recovery struct {
	config RecoveryConfig

	// serverFailures maps the name of each server that has failed to its record.
	serverFailures map[string]failureRecord
	// withoutProgress is the number of failed attempts in a row without a new token.
	withoutProgress int
	// delivered is the number of tokens delivered by the end of the latest attempt with a new token.
	delivered int
	// sameChainAttempts is the number of times in a row that the same chain was resumed without a new token.
	sameChainAttempts int
	// waitingSince is the time of the first of the current series of RetryLater steps, zero if there is none.
	waitingSince time.Time
}

// NewRecovery returns a Recovery for one answer.
func NewRecovery(config RecoveryConfig) *Recovery {
	return &Recovery{config: config, serverFailures: make(map[string]failureRecord)}
}

// Begin returns the step that starts the first attempt, or a GiveUp if no chain covers every layer.
func (r *Recovery) Begin(now time.Time, servers []chain.Server) Step {
	chosen, ok := r.chooseChain(now, servers)
	if !ok {
		return Step{Strategy: GiveUp, Code: outcome.CodeNoServer, Reason: "no chain of backend servers covers every layer"}
	}
	return Step{Strategy: FirstAttempt, Chain: chosen, At: now}
}

// AttemptFailure describes a failed attempt.
type AttemptFailure struct {
	// Chain is the chain of the attempt.
	Chain chain.Chain
	// Stages holds the status of each stage of Chain.
	Stages []StageStatus
	// Delivered is the number of tokens delivered so far.
	Delivered int
	// Reason is the reason why the attempt failed.
	Reason string
}

// maxSameChainAttempts is the maximum number of times in a row that the same chain is resumed without a new token.
const maxSameChainAttempts = 1

// Decide returns the step after a failed attempt: it gives up, resumes the same chain or returns the result of
// ChangeChain. If no stage is known to have failed and the same chain is not resumed, Decide marks the suspected
// stages, or all stages if none is suspected, as failed in failure.Stages.
func (r *Recovery) Decide(now time.Time, failure AttemptFailure, servers []chain.Server) Step {
	r.withoutProgress++
	if failure.Delivered > r.delivered {
		r.withoutProgress, r.sameChainAttempts, r.delivered = 0, 0, failure.Delivered
	}
	if r.withoutProgress >= r.config.MaxAttemptsWithoutProgress {
		return Step{Strategy: GiveUp, Code: outcome.CodeBackend, Reason: failure.Reason}
	}
	if r.config.AlwaysNewChain {
		for i := range failure.Stages {
			failure.Stages[i] = StageStatus{Failed: true}
		}
	}
	// If no stage is known to have failed, the same chain is resumed within maxSameChainAttempts and if TakeAttempt allows it.
	if !slices.ContainsFunc(failure.Stages, func(stage StageStatus) bool { return stage.Failed }) {
		if r.sameChainAttempts < maxSameChainAttempts && r.takeAttempt(now) {
			r.sameChainAttempts++
			return Step{Strategy: SameChain, Chain: failure.Chain, At: now.Add(r.backoff())}
		}
		anySuspected := slices.ContainsFunc(failure.Stages, func(stage StageStatus) bool { return stage.Suspected })
		markFailed(failure.Stages, func(stage StageStatus) bool { return stage.Suspected || !anySuspected })
	}
	for i, stage := range failure.Stages {
		if stage.Failed {
			r.avoidServer(now, failure.Chain.Stages[i].Server)
		}
	}
	return r.ChangeChain(now, failure, servers)
}

// markFailed marks the stages that match as failed.
func markFailed(stages []StageStatus, match func(StageStatus) bool) {
	for i := range stages {
		stages[i].Failed = stages[i].Failed || match(stages[i])
	}
}

// ChangeChain returns a step that replaces failed stages or chooses the whole chain anew, or a RetryLater or GiveUp if no
// attempt can be started. It is called again after each RetryLater.
func (r *Recovery) ChangeChain(now time.Time, failure AttemptFailure, servers []chain.Server) Step {
	if failure.Delivered > 0 {
		servers = withVersion(servers, failure.Chain.Version)
	}
	if !r.takeAttempt(now) {
		return r.waitForAttempt(now, failure, "the attempt budget of the pool is exhausted")
	}
	r.sameChainAttempts = 0
	step := Step{At: now.Add(r.backoff())}
	var ok bool
	if step.Chain, ok = r.replaceStages(now, failure, servers); ok {
		step.Strategy = ReplaceStages
	} else if step.Chain, ok = r.chooseChain(now, servers); ok {
		step.Strategy = NewChain
	}
	if !ok {
		return r.waitForAttempt(now, failure, "no chain of backend servers is left")
	}
	if r.withoutProgress > 0 && r.config.TakeRetry != nil && !r.config.TakeRetry() {
		return r.waitForAttempt(now, failure, "the retry budget is exhausted")
	}
	r.waitingSince = time.Time{}
	step.Imports = importAddresses(failure, step.Chain)
	return step
}

// waitForAttempt returns a RetryLater, or a GiveUp that names the obstacle once no attempt has been possible for MaxChainWait.
func (r *Recovery) waitForAttempt(now time.Time, failure AttemptFailure, obstacle string) Step {
	if r.waitingSince.IsZero() {
		r.waitingSince = now
	}
	if now.Sub(r.waitingSince) >= r.config.MaxChainWait {
		return Step{Strategy: GiveUp, Code: outcome.CodeNoServer, Reason: obstacle + ": " + failure.Reason}
	}
	return Step{Strategy: RetryLater, At: now.Add(max(r.config.BaseBackoff, r.config.MaxChainWait/changeChainCalls))}
}

// changeChainCalls is the approximate number of times that ChangeChain is called within MaxChainWait.
const changeChainCalls = 20

// takeAttempt reports whether TakeAttempt allows another attempt. After an attempt with a new token it returns true without
// calling TakeAttempt.
func (r *Recovery) takeAttempt(now time.Time) bool {
	return r.withoutProgress == 0 || r.config.TakeAttempt == nil || r.config.TakeAttempt(now)
}

// backoff returns the wait before the next attempt, which is zero after an attempt with a new token.
func (r *Recovery) backoff() time.Duration {
	if r.withoutProgress == 0 {
		return 0
	}
	return retry.Backoff(r.config.Rand, r.withoutProgress, r.config.BaseBackoff, r.config.MaxBackoff)
}

// chooseChain returns a chain without the servers in cooldown. If there is none, it readmits these servers one by one,
// those with the fewest failures first.
func (r *Recovery) chooseChain(now time.Time, servers []chain.Server) (chosen chain.Chain, ok bool) {
	request := r.config.Request
	request.Avoid = make(map[string]bool, len(r.serverFailures))
	var avoided []string
	for server, record := range r.serverFailures {
		if now.Before(record.avoidUntil) {
			request.Avoid[server] = true
			avoided = append(avoided, server)
		}
	}
	sort.Slice(avoided, func(i, j int) bool {
		return r.serverFailures[avoided[i]].preferredTo(r.serverFailures[avoided[j]], avoided[i] < avoided[j])
	})
	chosen, ok = r.config.Choose(servers, request)
	for i := 0; !ok && i < len(avoided); i++ {
		delete(request.Avoid, avoided[i])
		chosen, ok = r.config.Choose(servers, request)
	}
	return chosen, ok
}

// failureRecord is the failure history of one backend server in a Recovery.
type failureRecord struct {
	count      int
	avoidUntil time.Time
}

// preferredTo reports whether a server with the record f is tried before one with the record other; tie is the result if
// the records are equal.
func (f failureRecord) preferredTo(other failureRecord, tie bool) bool {
	if f.count != other.count {
		return f.count < other.count
	}
	if !f.avoidUntil.Equal(other.avoidUntil) {
		return f.avoidUntil.Before(other.avoidUntil)
	}
	return tie
}

// avoidServer records a failure of the backend server and extends its cooldown.
func (r *Recovery) avoidServer(now time.Time, server string) {
	failures := r.serverFailures[server].count + 1
	r.serverFailures[server] = failureRecord{count: failures, avoidUntil: now.Add(r.config.Cooldown * time.Duration(failures))}
}

// replaceStages returns a chain that keeps the working stages and has other servers for the failed ones; ok is false if no
// stage or every stage failed, or if the kept servers and the replacements form no chain.
func (r *Recovery) replaceStages(now time.Time, failure AttemptFailure, servers []chain.Server) (rebuilt chain.Chain, ok bool) {
	kept := 0
	var candidates []chain.Server
	for i, stage := range failure.Chain.Stages {
		if failure.Stages[i].Failed {
			candidates = append(candidates, r.replacements(now, failure.Chain, stage, servers)...)
			continue
		}
		kept++
		candidates = append(candidates, keepServer(failure.Chain, stage, servers))
	}
	if kept == 0 || kept == len(failure.Chain.Stages) {
		return chain.Chain{}, false
	}
	request := r.config.Request
	request.Avoid = nil
	return r.config.Choose(candidates, request)
}

// keepServer returns the server of the stage as a candidate that runs exactly the layers of the stage.
func keepServer(previous chain.Chain, stage engine.Stage, servers []chain.Server) chain.Server {
	kept := chain.Server{Name: stage.Server, Address: stage.Address}
	for _, server := range servers {
		if server.Name == stage.Server {
			kept.Zone = server.Zone
		}
	}
	kept.Usable = true
	kept.Status = engine.Status{Server: stage.Server, First: stage.First, Last: stage.Last, Version: previous.Version}
	return kept
}

// replacements returns the usable servers that hold exactly the layers of the stage in the chain's model version, are not in
// the chain and are not in cooldown.
func (r *Recovery) replacements(now time.Time, previous chain.Chain, stage engine.Stage, servers []chain.Server) []chain.Server {
	var found []chain.Server
	for _, server := range servers {
		status := server.Status
		matches := status.Version == previous.Version && status.First == stage.First && status.Last == stage.Last
		if matches && server.Usable && !previous.Uses(server.Name) && !now.Before(r.serverFailures[server.Name].avoidUntil) {
			found = append(found, server)
		}
	}
	return found
}

// withVersion returns the servers that hold the model version.
func withVersion(servers []chain.Server, version string) []chain.Server {
	var found []chain.Server
	for _, server := range servers {
		if server.Status.Version == version {
			found = append(found, server)
		}
	}
	return found
}

// importAddresses returns, for each new stage of the chain, the address of the stage that it replaces if that stage can
// export its KV cache, or else an empty string.
func importAddresses(failure AttemptFailure, chosen chain.Chain) []string {
	addresses := make([]string, len(chosen.Stages))
	if chosen.Version != failure.Chain.Version {
		return addresses
	}
	for i, stage := range chosen.Stages {
		if failure.Chain.Uses(stage.Server) {
			continue
		}
		for j, old := range failure.Chain.Stages {
			if failure.Stages[j].CanExport && old.First == stage.First && old.Last == stage.Last {
				addresses[i] = old.Address
			}
		}
	}
	return addresses
}
