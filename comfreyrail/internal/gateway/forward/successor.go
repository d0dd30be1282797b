package forward

import (
	"bytes"
	"context"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/event"
	"github.com/comfreyrail/comfreyrail/rail/limit"
)

// Times of the replacement of a silent attempt.
const (
	// successorBackoff is the time between the failure of a successor and the start of the next one.
	successorBackoff = 250 * time.Millisecond
	// successorCheckInterval is the time between two checks whether a successor has begun to respond.
	successorCheckInterval = 10 * time.Millisecond
)

// Errors of the replacement of a silent attempt.
const (
	// errReplaced is the error of a silent attempt that was given up because its successor has begun to respond.
	errReplaced = errors.ConstError("another attempt has replaced the silent one")
	// errSuccessorLate is the error of a successor that did not begin to respond in time.
	errSuccessorLate = errors.ConstError("the other attempt did not begin in time")
	// errSuccessorNotNeeded is the error of a successor of an attempt that is no longer silent or has ended.
	errSuccessorNotNeeded = errors.ConstError("the other attempt is not needed")
	// errNoBudget is the error of a successor that the retry budget does not allow.
	errNoBudget = errors.ConstError("the retry budget is exhausted")
)

// succession is the start of a successor of a silent attempt, in a goroutine of its own. The silent attempt stays open meanwhile,
// since its server may still respond.
type succession struct {
	silent *streamAttempt
	waited time.Duration           // how long the attempt had been silent when the succession started
	cancel context.CancelCauseFunc // cancels the successor
	done   chan struct{}           // closed once the fields below are final

	job     job            // copy of the job, which the start of the successor changes
	attempt *streamAttempt // the successor, nil if it failed
	err     error          // why the successor failed, nil if it has begun to respond
}

// replace marks the server at fault for a silent attempt as suspected, the first time, and starts a successor of the attempt if none is
// being started, the route allows another one and the backoff has passed. The address is that of the engine at fault, empty if unknown.
func (f *Forwarder) replace(ctx context.Context, j *job, a *streamAttempt, address string) {
	if !a.suspected {
		a.suspected = true
		a.faultyAddress = f.suspect(ctx, j, a, address)
	}
	if j.succession == nil && j.mayHaveSuccessor() && !time.Now().Before(a.replaceFrom) {
		f.startSuccessor(ctx, j, a)
	}
}

// startSuccessor starts a successor of an attempt on a server or chain without the attempt's first server.
func (f *Forwarder) startSuccessor(ctx context.Context, j *job, a *streamAttempt) {
	s := &succession{silent: a, waited: f.silence(a), done: make(chan struct{}), job: *j}
	s.job.isSuccessor, s.job.avoid = true, slices.Clone(j.avoid)
	if a.service.Engine != nil {
		s.job.avoid = append(s.job.avoid, a.chain[0].Server.ID)
	}
	position := j.out.copyPosition()
	ctx, s.cancel = context.WithCancelCause(ctx)
	timer := f.config.Clock.AfterFunc(headerTimeout(j), func() { s.cancel(errSuccessorLate) })
	j.succession = s
	go func() {
		defer close(s.done)
		defer f.recoverSuccession(s)
		s.attempt, s.err = f.beginSuccessor(ctx, &s.job, position)
		if inTime := timer.Stop(); s.err == nil && !inTime {
			f.endAttempt(s.attempt, errSuccessorLate)
			s.attempt, s.err = nil, errSuccessorLate
		}
	}()
}

// recoverSuccession turns a panic of the goroutine of a succession into its failure; the panic would end the process.
func (f *Forwarder) recoverSuccession(s *succession) {
	reason := recover()
	if reason == nil {
		return
	}
	s.attempt, s.err = nil, errPanicked
	f.config.recordPanic("the start of another attempt of request "+s.job.request.ID, reason)
}

// beginSuccessor starts an attempt and reads its first event. It returns an error if the response cannot continue the stream at the
// position, and the cause of the context if that has ended.
func (f *Forwarder) beginSuccessor(ctx context.Context, j *job, position *eventWriter) (a *streamAttempt, err error) {
	a, err = f.startAttempt(ctx, j, position.lastID)
	if err == nil {
		err = position.checkHead(a.response.Status, a.response.Header)
	}
	if err == nil {
		if a.prefetched, err = readFirstEvent(a, position); err != nil {
			f.checkCrash(ctx, j, a, err)
		}
	}
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if err != nil && a != nil {
		f.endAttempt(a, err)
		a = nil
	}
	return a, err
}

// readFirstEvent reads an attempt's response up to the end of its first event, and returns all bytes read. They are empty if a
// response of known length has ended without any. It returns an error if the event cannot follow those before the position, or is
// larger than limit.EventBytes.
func readFirstEvent(a *streamAttempt, position *eventWriter) (read []byte, err error) {
	var buffer [relayBufferBytes]byte
	for len(read) <= limit.EventBytes {
		n, err := a.response.Read(buffer[:])
		read = append(read, buffer[:n]...)
		if bytes.Contains(read, []byte(eventEnd)) {
			_, err = position.checkResumed(firstEvent(read))
			return read, err
		}
		if errors.Is(err, io.EOF) && a.response.Framed && len(read) == 0 {
			return nil, nil
		}
		if err != nil {
			return nil, errors.Annotate(err, "read first event")
		}
	}
	return nil, errEventTooLarge
}

// checkSuccession ends the succession if it is done. It reports whether the job has a successor now, and returns the time until the
// next check, which is zero if the succession is done.
func (f *Forwarder) checkSuccession(j *job) (begun bool, wait time.Duration) {
	select {
	case <-j.succession.done:
		f.endSuccession(j)
		return j.successor != nil, 0
	default:
		return false, successorCheckInterval
	}
}

// endSuccession waits until the succession is done, if there is one, and sets the job's successor if it has begun to respond.
func (f *Forwarder) endSuccession(j *job) {
	s := j.succession
	if s == nil {
		return
	}
	<-s.done
	j.succession = nil
	j.mergeSuccession(s)
	silent := event.SilentAttempt{Request: j.request.ID, Server: s.silent.chain[0].Server.ID, Waited: s.waited, FaultyAddress: s.silent.faultyAddress}
	log := f.config.Log.WithFields(silent.Fields())
	if s.err != nil {
		s.cancel(s.err)
		s.silent.replaceFrom = time.Now().Add(successorBackoff)
		log.WithError(s.err).Info(event.AttemptNotReplaced)
		return
	}
	s.attempt.cancel = s.cancel
	j.successor, j.lastServer, j.chainText = s.attempt, s.job.lastServer, s.job.chainText
	log.WithField("successor", j.lastServer).Info(event.AttemptReplaced)
}

// mergeSuccession takes over what a succession that is done has changed for all later attempts.
func (j *job) mergeSuccession(s *succession) {
	j.attempts, j.unsent = s.job.attempts, s.job.unsent
	j.mayHaveRun = j.mayHaveRun || s.job.mayHaveRun
	if s.silent.service.Engine == nil {
		j.avoid = s.job.avoid
	}
}

// cancelSuccession ends a successor that is not needed, whether it is still being started or has begun to respond.
func (f *Forwarder) cancelSuccession(j *job) {
	if j.succession != nil {
		j.succession.cancel(errSuccessorNotNeeded)
		f.endSuccession(j)
	}
	if a := j.successor; a != nil {
		j.successor = nil
		f.endAttempt(a, errSuccessorNotNeeded)
	}
}

// nextAttempt returns the successor of the previous attempt, or starts an attempt if there is none. It returns the errors of
// startAttempt.
func (f *Forwarder) nextAttempt(ctx context.Context, j *job) (a *streamAttempt, err error) {
	if a, j.successor = j.successor, nil; a != nil {
		return a, nil
	}
	return f.startAttempt(ctx, j, j.out.lastID)
}
