package stream

import (
	"fmt"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/stall"
)

// phase is what a Session waits for.
type phase int

const (
	idle phase = iota
	opening
	running
	probing
	waiting
	ended
)

// SessionConfig configures a Session.
type SessionConfig struct {
	// Answer configures the answer.
	Answer AnswerConfig
	// Recovery configures the way to go on after failures.
	Recovery RecoveryConfig
	// Silence configures the deadlines for frames.
	Silence stall.Config
	// Servers returns what is known about the backend servers now.
	Servers func() []chain.Server
	// OpenTimeout is the longest time to open a stage.
	OpenTimeout time.Duration
	// ProbeTimeout is the longest time for a stage to answer a probe.
	ProbeTimeout time.Duration
	// MinProbeTimeout is the least time that a stage is given once another stage has answered the probe.
	MinProbeTimeout time.Duration
	// Deadline is when the answer is of no more use.
	Deadline time.Time
}

// Session carries one request from its first attempt to the whole answer; it is not safe for concurrent use.
type Session struct {
	config   SessionConfig
	checker  *invariant.Checker
	answer   *Answer
	recovery *Recovery
	watch    *stall.Detector

	phase   phase
	actions []Action
	until   time.Time
	ran     bool
	before  bool
	opened  []bool
	broken  bool
	probe   inquiry
	failure AttemptFailure
	next    Step
}

// inquiry is one probe of all stages.
type inquiry struct {
	number  int
	finding stall.ProbeResult
	seen    []bool
	replies []StageProbed
	worked  int
}

// NewSession returns a Session that has not begun.
func NewSession(config SessionConfig) *Session {
	return &Session{
		config: config, checker: config.Answer.Checker,
		answer: NewAnswer(config.Answer), recovery: NewRecovery(config.Recovery),
	}
}

// Begin starts the first attempt.
func (s *Session) Begin(now time.Time) []Action {
	s.watch = stall.New(s.config.Silence, now)
	s.take(now, s.recovery.Begin(now, s.config.Servers()))
	return s.flush()
}

// Handle decides about an event.
func (s *Session) Handle(now time.Time, event Event) []Action {
	if s.phase == ended {
		return nil
	}
	if !now.Before(s.config.Deadline) {
		s.abandon(outcome.CodeDeadline, "the deadline passed")
		return s.flush()
	}
	event.handle(s, now)
	return s.flush()
}

// NextTick returns when to hand in a Tick.
func (s *Session) NextTick() time.Time {
	next := s.config.Deadline
	if s.phase == running {
		return earlier(next, s.watch.NextProbe())
	}
	return earlier(next, s.until)
}

// Ended reports whether the answer is complete or abandoned.
func (s *Session) Ended() bool { return s.phase == ended }

// MayHaveRun reports whether a backend server may have run any part of the request.
func (s *Session) MayHaveRun() bool { return s.ran }

// Answer returns the answer so far.
func (s *Session) Answer() *Answer { return s.answer }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (s *Session) do(action Action) { s.actions = append(s.actions, action) }

func (s *Session) flush() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// take begins the step, now or when its time comes.
func (s *Session) take(now time.Time, step Step) {
	s.next = step
	if step.Strategy == GiveUp {
		s.abandon(step.Code, step.Reason)
		return
	}
	s.phase, s.until = waiting, step.At
	if step.Strategy != RetryLater && !now.Before(step.At) {
		s.open(now)
	}
}

// open starts the attempt of the next step.
func (s *Session) open(now time.Time) {
	attempt, err := s.answer.StartAttempt(s.next.Plan)
	if err != nil {
		s.abandon(outcome.CodeInvariant, err.Error())
		return
	}
	s.phase, s.until = opening, now.Add(s.config.OpenTimeout)
	s.opened = make([]bool, len(s.next.Plan.Hops))
	s.broken = false
	s.do(OpenStages{Attempt: attempt, Plan: s.next.Plan, Imports: s.next.Imports, NewConnections: attempt > 1, Strategy: s.next.Strategy, Reason: s.failure.Reason})
}

func (e StageOpened) handle(s *Session, now time.Time) {
	attempt, plan := s.answer.Current()
	if s.phase != opening || e.Attempt != attempt {
		return
	}
	s.opened[e.Index] = true
	for _, opened := range s.opened {
		if !opened {
			return
		}
	}
	s.phase = running
	s.watch.Restart(now)
	s.before, s.ran = s.ran, true
	last := plan.Hops[len(plan.Hops)-1]
	s.do(StartRun{Attempt: attempt, Hop: last, Resume: s.answer.Tokens(), NewConnection: attempt > 1})
}

func (e StageFailed) handle(s *Session, now time.Time) {
	attempt, plan := s.answer.Current()
	if s.phase != opening || e.Attempt != attempt {
		return
	}
	if e.TimedOut {
		s.inquire(now, e.Reason)
		return
	}
	stages := make([]StageStatus, len(plan.Hops))
	for i := range stages {
		stages[i] = StageStatus{Failed: i == e.Index, CanExport: true}
	}
	s.recover(now, stages, e.Reason)
}

func (e FrameArrived) handle(s *Session, now time.Time) {
	attempt, _ := s.answer.Current()
	if s.broken || (s.phase != running && s.phase != probing) || e.Frame.Attempt != attempt {
		return
	}
	decision := s.answer.Accept(e.Frame)
	switch decision.Verdict {
	case Deliver:
		s.watch.ObserveToken(now)
		s.do(DeliverToken{Token: e.Frame.Token})
	case Finish:
		s.complete()
	case Fail:
		s.fail(now, decision)
	case Drop:
		s.watch.ObserveFrame(now)
	}
}

// fail ends an attempt whose frames are wrong.
func (s *Session) fail(now time.Time, decision Decision) {
	s.hangUp()
	if decision.Stage == NoStage {
		s.inquire(now, decision.Reason)
		return
	}
	_, plan := s.answer.Current()
	stages := make([]StageStatus, len(plan.Hops))
	for i := range stages {
		stages[i] = StageStatus{Failed: i == decision.Stage}
	}
	s.recover(now, stages, decision.Reason)
}

// hangUp ends the connection of the current attempt; its frames count no more.
func (s *Session) hangUp() {
	if s.broken {
		return
	}
	s.broken = true
	attempt, _ := s.answer.Current()
	s.do(CloseRun{Attempt: attempt})
}

func (e RunFailed) handle(s *Session, now time.Time) {
	attempt, _ := s.answer.Current()
	if s.broken || (s.phase != running && s.phase != probing) || e.Attempt != attempt {
		return
	}
	if e.NotRun {
		s.ran = s.before
	}
	s.hangUp()
	s.inquire(now, e.Reason)
}

func (Tick) handle(s *Session, now time.Time) {
	if now.Before(s.NextTick()) {
		return
	}
	switch s.phase {
	case opening:
		s.inquire(now, "a stage did not open in time")
	case running:
		s.inquire(now, "the stream fell silent")
	case probing:
		s.judge(now)
	case waiting:
		if s.next.Strategy == RetryLater {
			s.take(now, s.recovery.ChangeChain(now, s.failure, s.config.Servers()))
			return
		}
		s.open(now)
	case idle, ended:
	}
}

// inquire probes the stages; a probe under way goes on.
func (s *Session) inquire(now time.Time, reason string) {
	s.failure.Reason = reason
	if s.phase == probing {
		return
	}
	if s.phase == opening {
		s.broken = true
	}
	_, plan := s.answer.Current()
	s.phase, s.until = probing, now.Add(s.config.ProbeTimeout)
	s.probe = inquiry{
		worked:  s.probe.worked,
		number:  s.probe.number + 1,
		finding: stall.ProbeResult{StartedAt: now},
		seen:    make([]bool, len(plan.Hops)),
		replies: make([]StageProbed, len(plan.Hops)),
	}
	s.do(ProbeStages{Probe: s.probe.number, Plan: plan})
}

func (e StageProbed) handle(s *Session, now time.Time) {
	if s.phase != probing || e.Probe != s.probe.number {
		return
	}
	s.probe.seen[e.Index] = true
	s.probe.replies[e.Index] = e
	if e.Answered {
		began := s.probe.finding.StartedAt
		s.until = earlier(began.Add(s.config.ProbeTimeout), began.Add(max(s.config.MinProbeTimeout, slowest*now.Sub(began))))
	}
	for _, seen := range s.probe.seen {
		if !seen {
			return
		}
	}
	s.judge(now)
}

// slowest is how many times longer than the latest stage to answer a probe the others may take.
const slowest = 4

// judge decides after a probe.
func (s *Session) judge(now time.Time) {
	attempt, _ := s.answer.Current()
	stages := make([]StageStatus, len(s.probe.replies))
	finding := s.probe.finding
	worked := attempt
	for i, reply := range s.probe.replies {
		gap := i > 0 && s.probe.replies[i-1].Progress.Forwarded > reply.Progress.Received
		stages[i] = StageStatus{Failed: !reply.Answered, Suspect: gap, CanExport: reply.Answered}
		worked += reply.Progress.Received + reply.Progress.Forwarded + reply.Progress.CachedTokens
		finding.Unresponsive = finding.Unresponsive || !reply.Answered
		finding.AttemptLost = finding.AttemptLost || reply.Progress.Attempt != attempt
		finding.Undelivered = finding.Undelivered || gap
	}
	last := len(s.probe.replies) - 1
	finding.Undelivered = finding.Undelivered || s.probe.replies[last].Progress.Forwarded > len(s.answer.Tokens())
	finding.Progressed, s.probe.worked = worked != s.probe.worked, worked
	if !s.broken && s.watch.HandleProbe(now, finding) == stall.Wait {
		s.phase = running
		return
	}
	s.hangUp()
	s.recover(now, stages, s.failure.Reason)
}

// recover goes on after a failed attempt.
func (s *Session) recover(now time.Time, stages []StageStatus, reason string) {
	_, plan := s.answer.Current()
	s.failure = AttemptFailure{Plan: plan, Stages: stages, Delivered: len(s.answer.Tokens()), Reason: reason}
	s.take(now, s.recovery.Decide(now, s.failure, s.config.Servers()))
}

// complete ends the session with the whole answer.
func (s *Session) complete() {
	if err := s.checker.Check(s.answer.Complete(), "stream.complete", "complete after %d tokens", len(s.answer.Tokens())); err != nil {
		s.abandon(outcome.CodeInvariant, err.Error())
		return
	}
	s.phase = ended
	s.do(Complete{Finish: s.answer.Finish()})
}

// abandon ends the session with a failure.
func (s *Session) abandon(code outcome.Code, reason string) {
	s.phase = ended
	result := outcome.Unknown
	if !s.ran {
		result = outcome.NotRun
		if code == outcome.CodeBackend {
			code = outcome.CodeNoServer
		}
	}
	err := s.checker.Check(result == outcome.Unknown || len(s.answer.Tokens()) == 0, "stream.notrun",
		"not run after %d tokens", len(s.answer.Tokens()))
	if err != nil {
		result = outcome.Unknown
	}
	s.do(Abandon{Outcome: result, Code: code, Reason: fmt.Sprintf("%s; %d tokens delivered", reason, len(s.answer.Tokens()))})
}
