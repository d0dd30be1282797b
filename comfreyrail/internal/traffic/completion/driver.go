package completion

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/limit"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/stream"
)

// eventBuffer is the capacity of a driver's event channel.
const eventBuffer = 16

// driver performs the actions of one stream.Session and passes the resulting events to it.
type driver struct {
	runner  *Runner
	request Request
	session *stream.Session
	deliver func(token string) error

	events chan stream.Event
	// cancelRun closes the connection of the current run.
	cancelRun context.CancelFunc
	// untrack ends the tracking of the current attempt by Config.Track.
	untrack func()
	// addresses holds the address of each backend server that was used, by server name.
	addresses map[string]string
	// failure is the error of the request once the session has abandoned it.
	failure error
}

func newDriver(runner *Runner, request Request, session *stream.Session, deliver func(string) error) *driver {
	return &driver{
		runner: runner, request: request, session: session, deliver: deliver,
		events: make(chan stream.Event, eventBuffer), cancelRun: func() {}, untrack: func() {}, addresses: make(map[string]string),
	}
}

// run runs the session until it has ended or the caller has disconnected, and returns the reason why the answer is
// complete.
//
// Before it returns, it starts to cancel the stream at every backend server that was used.
func (d *driver) run(ctx context.Context) (engine.FinishReason, error) {
	defer d.cancelStreams(context.WithoutCancel(ctx))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	heldUp := d.runner.config.Clock.HeldUp()
	actions := d.session.Begin(time.Now())
	for {
		for _, action := range actions {
			if err := d.perform(ctx, action); err != nil {
				return "", err
			}
		}
		if d.session.Ended() {
			return d.session.Answer().FinishReason(), d.failure
		}
		timer.Reset(time.Until(d.session.NextTick()))
		event := d.nextEvent(ctx, timer)
		if event == nil {
			return "", d.disconnectError(ctx.Err())
		}
		actions = nil
		if total := d.runner.config.Clock.HeldUp(); total > heldUp {
			actions = d.session.Handle(time.Now(), stream.HeldUp{Duration: total - heldUp})
			heldUp = total
		}
		actions = append(actions, d.session.Handle(time.Now(), event)...)
	}
}

// nextEvent waits for the next event, or returns nil if the caller has disconnected.
//
// Events in the channel take precedence over the timer and the end of the context. A passed deadline yields a Tick,
// because the session checks the deadline itself.
func (d *driver) nextEvent(ctx context.Context, timer *time.Timer) stream.Event {
	select {
	case event := <-d.events:
		return event
	default:
	}
	select {
	case event := <-d.events:
		return event
	case <-timer.C:
		return stream.Tick{}
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return stream.Tick{}
		}
		return nil
	}
}

// disconnectError returns the failure of a request whose caller has disconnected. The caller can't receive it; it is
// logged and counted.
func (d *driver) disconnectError(err error) error {
	if d.session.MayHaveRun() {
		return outcome.Unknownf(outcome.CodeCaller, "the caller left: %v", err)
	}
	return outcome.NotRunf(outcome.CodeCaller, "the caller left: %v", err)
}

// perform carries out one action. It returns an error only if the caller has disconnected.
func (d *driver) perform(ctx context.Context, action stream.Action) error {
	switch action := action.(type) {
	case stream.OpenStages:
		d.openStages(ctx, action)
	case stream.StartRun:
		runCtx, cancelRun := context.WithCancel(ctx)
		d.cancelRun = cancelRun
		go d.runAttempt(runCtx, action)
	case stream.ProbeStages:
		for i, stage := range action.Chain.Stages {
			go d.probeStage(ctx, action.Probe, i, stage)
		}
	case stream.DeliverToken:
		if err := d.deliver(action.Token); err != nil {
			return d.disconnectError(err)
		}
	case stream.CloseRun:
		d.cancelRun()
	case stream.Complete:
		// run returns the finish reason of the answer once the session has ended.
	case stream.Abandon:
		d.failure = &outcome.Failure{Outcome: action.Outcome, Code: action.Code, Message: action.Reason}
	}
	return nil
}

// send queues an event for the session unless the request has ended.
func (d *driver) send(ctx context.Context, event stream.Event) {
	select {
	case d.events <- event:
	case <-ctx.Done():
	}
}

// openStages counts and tracks an attempt, logs it if it follows another, and starts to open its stages concurrently.
//
// For a retry on the same chain it closes idle connections first, so that broken ones aren't reused.
func (d *driver) openStages(ctx context.Context, action stream.OpenStages) {
	d.runner.countAttempt(action.Strategy)
	d.untrack()
	d.untrack = d.runner.config.Track(d.request.Route.Pool, action.Chain)
	if action.Strategy != stream.FirstAttempt {
		d.runner.config.Log.WithFields(logrus.Fields{
			"request": d.request.ID, "attempt": action.Attempt, "way": action.Strategy.String(), "tokens": len(d.session.Answer().Tokens()),
			"reason": action.Reason,
		}).Warn("attempt failed; starting another")
	}
	if action.Strategy == stream.SameChain {
		d.runner.config.HTTP.CloseIdleConnections()
	}
	for i, stage := range action.Chain.Stages {
		d.addresses[stage.Server] = stage.Address
		open := engine.Open{
			Stream: d.request.ID, Attempt: action.Attempt, Index: i, Stages: action.Chain.Stages,
			Version: action.Chain.Version, Priority: d.request.Route.Priority,
		}
		if i < len(action.Imports) {
			open.Import = action.Imports[i]
		}
		go d.openStage(ctx, stage, open, action.NewConnections)
	}
}

// openStage opens one stage and sends a StageOpened or OpenFailed event.
func (d *driver) openStage(ctx context.Context, stage engine.Stage, open engine.Open, newConnection bool) {
	callCtx, cancel := d.runner.config.Clock.WithTimeout(ctx, openTimeout)
	defer cancel()
	response, err := d.runner.post(callCtx, stage.Address, engine.PathOpen, open, newConnection)
	if err != nil {
		timedOut := errors.Is(err, context.DeadlineExceeded)
		d.send(ctx, stream.OpenFailed{Attempt: open.Attempt, Index: open.Index, TimedOut: timedOut, Reason: err.Error()})
		return
	}
	drainAndClose(response)
	d.send(ctx, stream.StageOpened{Attempt: open.Attempt, Index: open.Index})
}

// runAttempt starts the run of an attempt and forwards its frames to the session until the run has ended.
func (d *driver) runAttempt(ctx context.Context, action stream.StartRun) {
	run := engine.Run{
		Stream: d.request.ID, Attempt: action.Attempt, Prompt: d.request.Prompt,
		Resume: action.Resume, MaxTokens: d.request.MaxTokens,
	}
	response, err := d.runner.post(ctx, action.Stage.Address, engine.PathRun, run, action.NewConnection)
	if err != nil {
		d.send(ctx, stream.RunFailed{Attempt: action.Attempt, NotRun: notRun(err), Reason: err.Error()})
		return
	}
	defer response.Body.Close()
	err = d.forwardFrames(ctx, response.Body)
	d.send(ctx, stream.RunFailed{Attempt: action.Attempt, Reason: err.Error()})
}

// forwardFrames forwards frames to the session until the connection ends or a frame is malformed. The error is never
// nil.
func (d *driver) forwardFrames(ctx context.Context, body io.Reader) (err error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), engine.MaxFrameBytes)
	for scanner.Scan() {
		frame, err := engine.DecodeFrame(scanner.Bytes())
		if err != nil {
			return err
		}
		d.send(ctx, stream.FrameArrived{Frame: frame})
	}
	if err = scanner.Err(); err == nil {
		err = errors.New("the connection ended")
	}
	return err
}

// probeStage requests the progress of a stage over a new connection and sends a StageProbed event.
//
// A server that fails before the timeout, such as by refusing the connection, is reported as failed at once.
func (d *driver) probeStage(ctx context.Context, probe, index int, stage engine.Stage) {
	callCtx, cancel := d.runner.config.Clock.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt := time.Now()
	result := stream.StageProbed{Probe: probe, Index: index}
	response, err := d.runner.post(callCtx, stage.Address, engine.PathProbe, engine.StreamQuery{Stream: d.request.ID}, true)
	if err == nil {
		defer response.Body.Close()
		result.Responded = json.NewDecoder(io.LimitReader(response.Body, limit.EngineMessageBytes)).Decode(&result.Progress) == nil
	}
	if !result.Responded && callCtx.Err() == nil {
		d.runner.config.Control.Send(ctx, control.ServerFailed{Name: stage.Server, SentAt: sentAt, At: time.Now()})
	}
	d.send(ctx, result)
}

// cancelStreams cancels the stream at every backend server that was used, without waiting for the responses.
func (d *driver) cancelStreams(ctx context.Context) {
	d.untrack()
	attempt, _ := d.session.Answer().CurrentAttempt()
	for _, address := range d.addresses {
		go d.runner.cancelStream(ctx, address, engine.Cancel{Stream: d.request.ID, Attempt: attempt})
	}
}

// cancelStream cancels the stream at one backend server, over a new connection if there was more than one attempt.
func (r *Runner) cancelStream(ctx context.Context, address string, message engine.Cancel) {
	ctx, cancel := r.config.Clock.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	response, err := r.post(ctx, address, engine.PathCancel, message, message.Attempt > 1)
	if err == nil {
		drainAndClose(response)
	}
}
