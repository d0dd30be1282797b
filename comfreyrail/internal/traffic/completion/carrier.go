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
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/stream"
)

// eventBuffer is the number of events that wait for the carrier.
const eventBuffer = 16

// carrier runs the actions of one Session and brings it the events.
type carrier struct {
	runner  *Runner
	request Request
	session *stream.Session
	deliver func(token string) error

	events  chan stream.Event
	hangUp  context.CancelFunc
	untrack func()
	used    map[string]string
	failure error
}

func newCarrier(runner *Runner, request Request, session *stream.Session, deliver func(string) error) *carrier {
	return &carrier{
		runner: runner, request: request, session: session, deliver: deliver,
		events: make(chan stream.Event, eventBuffer), hangUp: func() {}, untrack: func() {}, used: make(map[string]string),
	}
}

// carry runs the session to its end.
func (c *carrier) carry(ctx context.Context) (engine.FinishReason, error) {
	defer c.release(context.WithoutCancel(ctx))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	actions := c.session.Begin(time.Now())
	for {
		for _, action := range actions {
			if err := c.do(ctx, action); err != nil {
				return "", err
			}
		}
		if c.session.Ended() {
			return c.session.Answer().Finish(), c.failure
		}
		timer.Reset(time.Until(c.session.NextTick()))
		event := c.next(ctx, timer)
		if event == nil {
			return "", c.gone(ctx.Err())
		}
		actions = c.session.Handle(time.Now(), event)
	}
}

// next waits for the next event, or returns nil if the caller has left.
func (c *carrier) next(ctx context.Context, timer *time.Timer) stream.Event {
	select {
	case event := <-c.events:
		return event
	default:
	}
	select {
	case event := <-c.events:
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

// gone returns what is known when the caller has left; nobody is told, but it is logged and counted.
func (c *carrier) gone(err error) error {
	if c.session.MayHaveRun() {
		return outcome.Unknownf(outcome.CodeCaller, "the caller left: %v", err)
	}
	return outcome.NotRunf(outcome.CodeCaller, "the caller left: %v", err)
}

// do runs one action; an error means that the caller has left.
func (c *carrier) do(ctx context.Context, action stream.Action) error {
	switch action := action.(type) {
	case stream.OpenStages:
		c.open(ctx, action)
	case stream.StartRun:
		run, hangUp := context.WithCancel(ctx)
		c.hangUp = hangUp
		go c.read(run, action)
	case stream.ProbeStages:
		for i, hop := range action.Plan.Hops {
			go c.probe(ctx, action.Probe, i, hop)
		}
	case stream.DeliverToken:
		if err := c.deliver(action.Token); err != nil {
			return c.gone(err)
		}
	case stream.CloseRun:
		c.hangUp()
	case stream.Complete:
	case stream.Abandon:
		c.failure = &outcome.Failure{Outcome: action.Outcome, Code: action.Code, Message: action.Reason}
	}
	return nil
}

// send hands an event to the carrier unless the request has ended.
func (c *carrier) send(ctx context.Context, event stream.Event) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// open opens all stages at once.
func (c *carrier) open(ctx context.Context, action stream.OpenStages) {
	c.runner.count(action.Strategy)
	c.untrack()
	c.untrack = c.runner.config.Track(c.request.Route.Pool, action.Plan)
	if action.Strategy != stream.FirstAttempt {
		c.runner.config.Log.WithFields(logrus.Fields{
			"request": c.request.ID, "attempt": action.Attempt, "way": action.Strategy.String(), "tokens": len(c.session.Answer().Tokens()),
			"reason": action.Reason,
		}).Warn("attempt failed; going on")
	}
	if action.Strategy == stream.SameChain {
		c.runner.config.HTTP.CloseIdleConnections()
	}
	for i, hop := range action.Plan.Hops {
		c.used[hop.Server] = hop.Address
		open := engine.Open{
			Stream: c.request.ID, Attempt: action.Attempt, Index: i, Hops: action.Plan.Hops,
			Version: action.Plan.Version, Priority: c.request.Route.Priority,
		}
		if i < len(action.Imports) {
			open.Import = action.Imports[i]
		}
		go c.openStage(ctx, hop, open, action.NewConnections)
	}
}

func (c *carrier) openStage(ctx context.Context, hop engine.Hop, open engine.Open, fresh bool) {
	call, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	response, err := c.runner.post(call, hop.Address, engine.PathOpen, open, fresh)
	if err != nil {
		silent := errors.Is(err, context.DeadlineExceeded)
		c.send(ctx, stream.StageFailed{Attempt: open.Attempt, Index: open.Index, TimedOut: silent, Reason: err.Error()})
		return
	}
	closeBody(response)
	c.send(ctx, stream.StageOpened{Attempt: open.Attempt, Index: open.Index})
}

// read starts the run of an attempt and hands on its frames.
func (c *carrier) read(ctx context.Context, action stream.StartRun) {
	run := engine.Run{
		Stream: c.request.ID, Attempt: action.Attempt, Prompt: c.request.Prompt,
		Resume: action.Resume, MaxTokens: c.request.MaxTokens,
	}
	response, err := c.runner.post(ctx, action.Hop.Address, engine.PathRun, run, action.NewConnection)
	if err != nil {
		c.send(ctx, stream.RunFailed{Attempt: action.Attempt, NotRun: notRun(err), Reason: err.Error()})
		return
	}
	defer response.Body.Close()
	err = c.frames(ctx, response.Body)
	c.send(ctx, stream.RunFailed{Attempt: action.Attempt, Reason: err.Error()})
}

// frames hands on frames until the connection ends or brings garbage.
func (c *carrier) frames(ctx context.Context, body io.Reader) (err error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), engine.MaxFrameBytes)
	for scanner.Scan() {
		frame, err := engine.DecodeFrame(scanner.Bytes())
		if err != nil {
			return err
		}
		c.send(ctx, stream.FrameArrived{Frame: frame})
	}
	if err = scanner.Err(); err == nil {
		err = errors.New("the connection ended")
	}
	return err
}

// probe asks a stage over a new connection how far it has come; a server that refuses is reported at once.
func (c *carrier) probe(ctx context.Context, probe, index int, hop engine.Hop) {
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	asked := time.Now()
	reply := stream.StageProbed{Probe: probe, Index: index}
	response, err := c.runner.post(call, hop.Address, engine.PathProbe, engine.StreamQuery{Stream: c.request.ID}, true)
	if err == nil {
		defer response.Body.Close()
		reply.Answered = json.NewDecoder(response.Body).Decode(&reply.Progress) == nil
	}
	if !reply.Answered && call.Err() == nil {
		c.runner.config.Control.Send(ctx, control.ServerFailed{Name: hop.Server, SentAt: asked, At: time.Now()})
	}
	c.send(ctx, reply)
}

// release ends the stream at every backend server that was used.
func (c *carrier) release(ctx context.Context) {
	c.untrack()
	attempt, _ := c.session.Answer().Current()
	for _, address := range c.used {
		go c.runner.cancelStream(ctx, address, engine.Cancel{Stream: c.request.ID, Attempt: attempt})
	}
}

// cancelStream ends the stream at one backend server.
func (r *Runner) cancelStream(ctx context.Context, address string, message engine.Cancel) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	response, err := r.post(ctx, address, engine.PathCancel, message, message.Attempt > 1)
	if err == nil {
		closeBody(response)
	}
}
