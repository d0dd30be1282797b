package stream

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// Event is an event of a stream that a Session handles.
type Event interface {
	handle(s *Session, now time.Time)
}

// StageOpened reports that a stage has been opened for the attempt.
type StageOpened struct {
	// Attempt is the attempt that the stage was opened for.
	Attempt int
	// Index is the index of the stage in the chain.
	Index int
}

// OpenFailed reports that a stage could not be opened.
type OpenFailed struct {
	// Attempt is the attempt that the stage was to be opened for.
	Attempt int
	// Index is the index of the stage in the chain.
	Index int
	// TimedOut reports whether the stage did not respond in time. If false, the request failed in another way, such as by a
	// refusal.
	TimedOut bool
	// Reason is the reason for the failure.
	Reason string
}

// FrameArrived reports that a frame has arrived.
type FrameArrived struct {
	// Frame is the decoded frame.
	Frame engine.Frame
}

// RunFailed reports that the connection for an attempt's frames ended, failed or delivered invalid data.
type RunFailed struct {
	// Attempt is the attempt that used the connection.
	Attempt int
	// NotRun reports whether it is certain that the request to run the attempt had no effect.
	NotRun bool
	// Reason describes the failure.
	Reason string
}

// StageProbed reports the result of a probe at one stage.
type StageProbed struct {
	// Probe is the number of the probe.
	Probe int
	// Index is the index of the stage in the chain.
	Index int
	// Responded reports whether the stage responded.
	Responded bool
	// Progress is the response of the stage, zero if it did not respond.
	Progress engine.Progress
}

// Tick reports that the time returned by Session.NextTick has come.
type Tick struct{}

// HeldUp reports that this process was held up for a time, in which it handled nothing that may have arrived.
type HeldUp struct{ Duration time.Duration }

// Action is an action that the program must carry out.
type Action interface {
	action()
}

// OpenStages is the action of opening all stages of a chain at the same time.
type OpenStages struct {
	// Attempt is the number of the attempt.
	Attempt int
	// Chain is the chain of the attempt.
	Chain chain.Chain
	// Imports holds, for each stage, the address from which it can import its KV cache, or an empty string.
	Imports []string
	// NewConnections reports whether new connections must be used.
	NewConnections bool
	// Strategy is the recovery strategy that led to the attempt.
	Strategy Strategy
	// Reason is the reason why the previous attempt failed, empty for the first attempt.
	Reason string
}

// StartRun is the action of starting the run of an attempt at its last stage, after all stages have been opened.
type StartRun struct {
	// Attempt is the number of the attempt.
	Attempt int
	// Stage is the last stage.
	Stage engine.Stage
	// Resume lists the tokens already delivered.
	Resume []string
	// NewConnection reports whether a new connection must be used.
	NewConnection bool
}

// ProbeStages is the action of probing all stages at the same time over new connections.
type ProbeStages struct {
	// Probe is the number of the probe.
	Probe int
	// Chain is the chain to probe.
	Chain chain.Chain
}

// DeliverToken is the action of sending a token to the caller.
type DeliverToken struct {
	// Token is the text of the token.
	Token string
}

// CloseRun is the action of closing the connection for an attempt's frames.
type CloseRun struct {
	// Attempt is the number of the attempt.
	Attempt int
}

// Complete reports that the whole answer has been delivered.
type Complete struct {
	// Finish is the reason why the answer is complete.
	Finish engine.FinishReason
}

// Abandon reports that the answer cannot be completed.
type Abandon struct {
	// Outcome is outcome.NotRun if no backend server has run or will run any part of the request, or else outcome.Unknown.
	Outcome outcome.Outcome
	// Code is the error code for the caller.
	Code outcome.Code
	// Reason is a description for humans.
	Reason string
}

func (OpenStages) action()   {}
func (StartRun) action()     {}
func (ProbeStages) action()  {}
func (DeliverToken) action() {}
func (CloseRun) action()     {}
func (Complete) action()     {}
func (Abandon) action()      {}
