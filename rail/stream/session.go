package stream

import (
	"fmt"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/stall"
)

// phase is the phase of a Session; it determines which events the Session handles and when the next Tick is due.
type phase int

const (
	// idle is the phase before Begin.
	idle phase = iota
	// opening is the phase in which the stages of an attempt are being opened.
	opening
	// running is the phase in which frames of an attempt are expected.
	running
	// probing is the phase in which a probe of the stages is in progress.
	probing
	// waiting is the phase in which the next step is not yet due.
	waiting
	// ended is the phase after a Complete or an Abandon.
	ended
)

// SessionConfig configures a Session.
type SessionConfig struct {
	// Answer configures the answer.
	Answer AnswerConfig
	// Recovery configures the recovery from failed attempts.
	Recovery RecoveryConfig
	// Stall configures the stall detection, which sets the timeouts for frames and tokens.
	Stall stall.Config
	// Servers returns the current state of the backend servers.
	Servers func() []chain.Server
	// OpenTimeout is the maximum time to open a stage.
	OpenTimeout time.Duration
	// ProbeTimeout is the maximum time for a stage to respond to a probe.
	ProbeTimeout time.Duration
	// MinProbeTimeout is the minimum time, from the start of a probe, to wait for the other stages after one stage has
	// responded.
	MinProbeTimeout time.Duration
	// Deadline is the time after which the request is abandoned.
	Deadline time.Time
}

// Session is the state machine for one request, from its first attempt to the complete answer or its abandonment. It is
// not safe for concurrent use.
type Session struct {
	config   SessionConfig
	checker  *invariant.Checker
	answer   *Answer
	recovery *Recovery
	detector *stall.Detector

	phase phase
	// actions holds the actions to return from the current call.
	actions []Action
	// phaseDeadline is when the phase ends unless an event ends it earlier; it does not apply to the running phase.
	phaseDeadline time.Time
	// mayHaveRun reports whether a backend server may have run any part of the request.
	mayHaveRun bool
	// mayHaveRunBefore is the value of mayHaveRun before the run of the current attempt was started.
	mayHaveRunBefore bool
	// opened reports for each stage of the current attempt whether it has been opened.
	opened []bool
	// runEnded reports whether frames of the current attempt are no longer accepted.
	runEnded bool
	// probe is the current or the last probe.
	probe    probeState
	failure  AttemptFailure
	nextStep Step
}

// probeState is the state of one probe of all stages.
type probeState struct {
	// number is the number of the probe.
	number int
	result stall.ProbeResult
	// done reports for each stage whether its result is in responses.
	done      []bool
	responses []StageProbed
	// progressSum is the attempt number plus all progress counters of the stages, as of the last probe that ended. If the
	// next probe has the same sum, no stage has made progress.
	progressSum int
}

// NewSession returns a Session; Begin starts it.
func NewSession(config SessionConfig) *Session {
	return &Session{
		config: config, checker: config.Answer.Checker,
		answer: NewAnswer(config.Answer), recovery: NewRecovery(config.Recovery),
	}
}

// Begin starts the first attempt and returns the actions to carry out. It must be called once, before Handle.
func (s *Session) Begin(now time.Time) []Action {
	s.detector = stall.New(s.config.Stall, now)
	s.startStep(now, s.recovery.Begin(now, s.config.Servers()))
	return s.takeActions()
}

// Handle handles an event and returns the actions to carry out, in order.
func (s *Session) Handle(now time.Time, event Event) []Action {
	if s.phase == ended {
		return nil
	}
	if !now.Before(s.config.Deadline) {
		s.abandon(outcome.CodeDeadline, "the deadline passed")
		return s.takeActions()
	}
	event.handle(s, now)
	return s.takeActions()
}

// NextTick returns the time at which a Tick must be passed to Handle unless another event comes first.
func (s *Session) NextTick() time.Time {
	next := s.config.Deadline
	if s.phase == running {
		return earlier(next, s.detector.NextProbe())
	}
	return earlier(next, s.phaseDeadline)
}

// Ended reports whether the Session has ended with a Complete or an Abandon.
func (s *Session) Ended() bool { return s.phase == ended }

// MayHaveRun reports whether a backend server may have run any part of the request.
func (s *Session) MayHaveRun() bool { return s.mayHaveRun }

// Answer returns the answer so far.
func (s *Session) Answer() *Answer { return s.answer }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (s *Session) emit(action Action) { s.actions = append(s.actions, action) }

func (s *Session) takeActions() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// startStep starts the step, now if it is due or else at the Tick after Step.At.
func (s *Session) startStep(now time.Time, step Step) {
	s.nextStep = step
	if step.Strategy == GiveUp {
		s.abandon(step.Code, step.Reason)
		return
	}
	s.phase, s.phaseDeadline = waiting, step.At
	if step.Strategy != RetryLater && !now.Before(step.At) {
		s.openStages(now)
	}
}

// openStages starts the attempt that nextStep describes by opening its stages.
func (s *Session) openStages(now time.Time) {
	attempt, err := s.answer.StartAttempt(s.nextStep.Chain)
	if err != nil {
		s.abandon(outcome.CodeInvariant, err.Error())
		return
	}
	s.phase, s.phaseDeadline = opening, now.Add(s.config.OpenTimeout)
	s.opened = make([]bool, len(s.nextStep.Chain.Stages))
	s.runEnded = false
	s.emit(OpenStages{
		Attempt: attempt, Chain: s.nextStep.Chain, Imports: s.nextStep.Imports, NewConnections: attempt > 1,
		Strategy: s.nextStep.Strategy, Reason: s.failure.Reason,
	})
}

func (e StageOpened) handle(s *Session, now time.Time) {
	attempt, chosen := s.answer.CurrentAttempt()
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
	s.detector.Restart(now)
	s.mayHaveRunBefore, s.mayHaveRun = s.mayHaveRun, true
	last := chosen.Stages[len(chosen.Stages)-1]
	s.emit(StartRun{Attempt: attempt, Stage: last, Resume: s.answer.Tokens(), NewConnection: attempt > 1})
}

func (e OpenFailed) handle(s *Session, now time.Time) {
	attempt, chosen := s.answer.CurrentAttempt()
	if s.phase != opening || e.Attempt != attempt {
		return
	}
	if e.TimedOut {
		s.probeStages(now, e.Reason)
		return
	}
	stages := make([]StageStatus, len(chosen.Stages))
	for i := range stages {
		stages[i] = StageStatus{Failed: i == e.Index, CanExport: true}
	}
	s.startRecovery(now, stages, e.Reason)
}

func (e FrameArrived) handle(s *Session, now time.Time) {
	attempt, _ := s.answer.CurrentAttempt()
	if s.runEnded || (s.phase != running && s.phase != probing) || e.Frame.Attempt != attempt {
		return
	}
	decision := s.answer.Accept(e.Frame)
	switch decision.Verdict {
	case Deliver:
		s.detector.ObserveToken(now)
		s.emit(DeliverToken{Token: e.Frame.Token})
	case Finish:
		s.complete()
	case Fail:
		s.failAttempt(now, decision)
	case Drop:
		s.detector.ObserveFrame(now)
	}
}

// failAttempt ends the current attempt because of a frame with the verdict Fail.
func (s *Session) failAttempt(now time.Time, decision Decision) {
	s.closeRun()
	if decision.Stage == NoStage {
		s.probeStages(now, decision.Reason)
		return
	}
	_, chosen := s.answer.CurrentAttempt()
	stages := make([]StageStatus, len(chosen.Stages))
	for i := range stages {
		stages[i] = StageStatus{Failed: i == decision.Stage}
	}
	s.startRecovery(now, stages, decision.Reason)
}

// closeRun closes the connection of the current attempt. Frames of the attempt that arrive later are ignored.
func (s *Session) closeRun() {
	if s.runEnded {
		return
	}
	s.runEnded = true
	attempt, _ := s.answer.CurrentAttempt()
	s.emit(CloseRun{Attempt: attempt})
}

func (e RunFailed) handle(s *Session, now time.Time) {
	attempt, _ := s.answer.CurrentAttempt()
	if s.runEnded || (s.phase != running && s.phase != probing) || e.Attempt != attempt {
		return
	}
	if e.NotRun {
		s.mayHaveRun = s.mayHaveRunBefore
	}
	s.closeRun()
	s.probeStages(now, e.Reason)
}

func (Tick) handle(s *Session, now time.Time) {
	if now.Before(s.NextTick()) {
		return
	}
	switch s.phase {
	case opening:
		s.probeStages(now, "a stage did not open in time")
	case running:
		s.probeStages(now, "the stream fell silent")
	case probing:
		s.finishProbe(now)
	case waiting:
		if s.nextStep.Strategy == RetryLater {
			s.startStep(now, s.recovery.ChangeChain(now, s.failure, s.config.Servers()))
			return
		}
		s.openStages(now)
	case idle, ended:
	}
}

// The deadline stays, since the caller does not wait for this process.
func (e HeldUp) handle(s *Session, _ time.Time) {
	if s.phase == opening || s.phase == probing {
		s.phaseDeadline = s.phaseDeadline.Add(e.Duration)
	}
	s.probe.result.StartedAt = s.probe.result.StartedAt.Add(e.Duration)
	s.detector.LeaveOut(e.Duration)
}

// probeStages starts a probe of the stages. If a probe is already in progress, probeStages only records the reason.
func (s *Session) probeStages(now time.Time, reason string) {
	s.failure.Reason = reason
	if s.phase == probing {
		return
	}
	if s.phase == opening {
		// No run was started, so the attempt cannot continue after the probe.
		s.runEnded = true
	}
	_, chosen := s.answer.CurrentAttempt()
	s.phase, s.phaseDeadline = probing, now.Add(s.config.ProbeTimeout)
	s.probe = probeState{
		progressSum: s.probe.progressSum,
		number:      s.probe.number + 1,
		result:      stall.ProbeResult{StartedAt: now},
		done:        make([]bool, len(chosen.Stages)),
		responses:   make([]StageProbed, len(chosen.Stages)),
	}
	s.emit(ProbeStages{Probe: s.probe.number, Chain: chosen})
}

func (e StageProbed) handle(s *Session, now time.Time) {
	if s.phase != probing || e.Probe != s.probe.number {
		return
	}
	s.probe.done[e.Index] = true
	s.probe.responses[e.Index] = e
	if e.Responded {
		startedAt := s.probe.result.StartedAt
		s.phaseDeadline = earlier(startedAt.Add(s.config.ProbeTimeout), startedAt.Add(max(s.config.MinProbeTimeout, probeTimeoutFactor*now.Sub(startedAt))))
	}
	for _, done := range s.probe.done {
		if !done {
			return
		}
	}
	s.finishProbe(now)
}

// probeTimeoutFactor is the time from the start of a probe to wait for the other stages, as a multiple of the response time of
// the latest stage to respond, within the limits of the SessionConfig.
const probeTimeoutFactor = 4

// finishProbe evaluates the responses to a probe and keeps the attempt or starts the recovery.
func (s *Session) finishProbe(now time.Time) {
	attempt, _ := s.answer.CurrentAttempt()
	stages := make([]StageStatus, len(s.probe.responses))
	result := s.probe.result
	progressSum := attempt
	for i, response := range s.probe.responses {
		undelivered := i > 0 && s.probe.responses[i-1].Progress.Forwarded > response.Progress.Received
		stages[i] = StageStatus{Failed: !response.Responded, Suspected: undelivered, CanExport: response.Responded}
		progressSum += response.Progress.Received + response.Progress.Forwarded + response.Progress.CachedTokens
		result.Unresponsive = result.Unresponsive || !response.Responded
		result.AttemptLost = result.AttemptLost || response.Progress.Attempt != attempt
		result.Undelivered = result.Undelivered || undelivered
	}
	last := len(s.probe.responses) - 1
	result.Undelivered = result.Undelivered || s.probe.responses[last].Progress.Forwarded > len(s.answer.Tokens())
	result.Progressed, s.probe.progressSum = progressSum != s.probe.progressSum, progressSum
	if !s.runEnded && s.detector.HandleProbe(now, result) == stall.Wait {
		s.phase = running
		return
	}
	s.closeRun()
	s.startRecovery(now, stages, s.failure.Reason)
}

// startRecovery starts the step that follows a failed attempt.
func (s *Session) startRecovery(now time.Time, stages []StageStatus, reason string) {
	_, chosen := s.answer.CurrentAttempt()
	s.failure = AttemptFailure{Chain: chosen, Stages: stages, Delivered: len(s.answer.Tokens()), Reason: reason}
	s.startStep(now, s.recovery.Decide(now, s.failure, s.config.Servers()))
}

// complete ends the session with a complete answer.
func (s *Session) complete() {
	if err := s.checker.Check(s.answer.Complete(), "stream.complete", "complete after %d tokens", len(s.answer.Tokens())); err != nil {
		s.abandon(outcome.CodeInvariant, err.Error())
		return
	}
	s.phase = ended
	s.emit(Complete{Finish: s.answer.FinishReason()})
}

// abandon ends the session without a complete answer.
func (s *Session) abandon(code outcome.Code, reason string) {
	s.phase = ended
	result := outcome.Unknown
	if !s.mayHaveRun {
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
	s.emit(Abandon{Outcome: result, Code: code, Reason: fmt.Sprintf("%s; %d tokens delivered", reason, len(s.answer.Tokens()))})
}
