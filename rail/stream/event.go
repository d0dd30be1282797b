package stream

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// Event is something that happened to a stream.
type Event interface {
	handle(s *Session, now time.Time)
}

// StageOpened tells that a stage is ready for the attempt.
type StageOpened struct {
	// Attempt is the attempt that the stage was opened for.
	Attempt int
	// Index is the position of the stage in the chain.
	Index int
}

// StageFailed tells that a stage could not be opened.
type StageFailed struct {
	// Attempt is the attempt that the stage was opened for.
	Attempt int
	// Index is the position of the stage in the chain.
	Index int
	// TimedOut tells that the stage did not answer in time, rather than refuse.
	TimedOut bool
	// Reason says why.
	Reason string
}

// FrameArrived tells that a frame arrived.
type FrameArrived struct {
	// Frame is the frame.
	Frame engine.Frame
}

// RunFailed tells that the connection of an attempt's frames ended, broke or brought garbage.
type RunFailed struct {
	// Attempt is the attempt whose connection it was.
	Attempt int
	// NotRun tells that the order to run provably had no effect.
	NotRun bool
	// Reason says what happened.
	Reason string
}

// StageProbed tells that a stage answered a probe or failed to.
type StageProbed struct {
	// Probe is the number of the probe.
	Probe int
	// Index is the position of the stage in the chain.
	Index int
	// Answered tells that the stage answered.
	Answered bool
	// Progress is the answer.
	Progress engine.Progress
}

// Tick tells that the Session's NextTick has passed.
type Tick struct{}

// Action is something to do for a stream.
type Action interface {
	action()
}

// OpenStages asks to open every stage of a chain at once.
type OpenStages struct {
	// Attempt is the number of the attempt.
	Attempt int
	// Plan is the chain.
	Plan chain.Plan
	// Imports holds for each stage the address that exports its KV cache, or nothing.
	Imports []string
	// NewConnections asks for new connections.
	NewConnections bool
	// Strategy is the way that led to the attempt.
	Strategy Strategy
	// Reason says why the attempt before failed, empty for the first.
	Reason string
}

// StartRun asks to start the attempt at its last stage.
type StartRun struct {
	// Attempt is the number of the attempt.
	Attempt int
	// Hop is the last stage.
	Hop engine.Hop
	// Resume holds the tokens already delivered.
	Resume []string
	// NewConnection asks for a new connection.
	NewConnection bool
}

// ProbeStages asks to probe every stage at once over new connections.
type ProbeStages struct {
	// Probe is the number of the probe.
	Probe int
	// Plan is the chain whose stages to probe.
	Plan chain.Plan
}

// DeliverToken asks to hand a token to the caller.
type DeliverToken struct {
	// Token is the text of the token.
	Token string
}

// CloseRun asks to close the connection of an attempt's frames.
type CloseRun struct {
	// Attempt is the number of the attempt.
	Attempt int
}

// Complete tells that the whole answer has been delivered.
type Complete struct {
	// Finish says why the answer is complete.
	Finish engine.FinishReason
}

// Abandon tells that the answer cannot be completed.
type Abandon struct {
	// Outcome is NotRun or Unknown.
	Outcome outcome.Outcome
	// Code names the reason.
	Code outcome.Code
	// Reason explains it to people.
	Reason string
}

func (OpenStages) action()   {}
func (StartRun) action()     {}
func (ProbeStages) action()  {}
func (DeliverToken) action() {}
func (CloseRun) action()     {}
func (Complete) action()     {}
func (Abandon) action()      {}
