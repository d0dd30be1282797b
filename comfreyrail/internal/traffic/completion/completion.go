package completion

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/stream"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Limits of one completion.
const (
	maxAttempts   = 5
	maxFrameBytes = 64 << 10
	openTimeout   = 2 * time.Second
	cancelTimeout = time.Second
)

// Request is one completion request.
type Request struct {
	// ID identifies the request.
	ID string
	// Route is the route that the request matched.
	Route table.Route
	// Prompt is the text to complete.
	Prompt string
	// MaxTokens is the number of tokens to generate.
	MaxTokens int
}

// Config configures a Runner.
type Config struct {
	// Control publishes the state.
	Control *control.Control
	// HTTP makes the calls to the engines.
	HTTP *http.Client
	// Log receives the log.
	Log *logrus.Entry
	// Zone is the availability zone of this instance.
	Zone string
	// Choose chooses a chain of the servers.
	Choose func(servers []chain.Server, request chain.Request) (chain.Plan, bool)
	// Track counts an attempt at every stage of its plan until done is called.
	Track func(pool string, plan chain.Plan) (done func())
}

// Runner runs completion requests.
type Runner struct {
	control *control.Control
	http    *http.Client
	log     *logrus.Entry
	zone    string
	choose  func(servers []chain.Server, request chain.Request) (chain.Plan, bool)
	track   func(pool string, plan chain.Plan) (done func())
}

// New returns a Runner.
func New(config Config) *Runner {
	return &Runner{
		control: config.Control, http: config.HTTP, log: config.Log, zone: config.Zone,
		choose: config.Choose, track: config.Track,
	}
}

// Run runs the request and hands each token to deliver; the error holds an outcome.Failure.
func (r *Runner) Run(ctx context.Context, request Request, deliver func(token string) error) (err error) {
	pool, ok := r.control.Snapshot().Tables.FindPool(request.Route.Pool)
	if !ok {
		return outcome.NotRunf(outcome.CodeNoRoute, "pool %q does not exist", request.Route.Pool)
	}
	answer := &stream.Answer{Stream: request.ID, Layers: pool.Layers, MaxTokens: request.MaxTokens}
	avoid := make(map[string]bool)
	started := false
	for range maxAttempts {
		plan, found := r.choose(r.candidates(pool), chain.Request{Pool: pool.Name, Layers: pool.Layers, Avoid: avoid, Zone: r.zone})
		if !found {
			break
		}
		var ran bool
		ran, err = r.attempt(ctx, request, answer, plan, avoid, deliver)
		started = started || ran
		if answer.Whole() {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
		r.log.WithFields(logrus.Fields{"request": request.ID, "tokens": len(answer.Tokens())}).WithError(err).Warn("attempt failed")
	}
	return failure(ctx, err, started, pool.Name)
}

// failure returns what the caller is told after the last attempt.
func failure(ctx context.Context, err error, started bool, pool string) error {
	code := outcome.CodeNoServer
	if ctx.Err() != nil {
		code = outcome.CodeDeadline
	}
	if err == nil {
		err = fmt.Errorf("no chain of backend servers in pool %q covers every layer", pool)
	}
	if started {
		return outcome.Unknownf(outcome.CodeBackend, "%v", err)
	}
	return outcome.NotRunf(code, "%v", err)
}

// candidates returns what is known about the backend servers of the pool.
func (r *Runner) candidates(pool table.Pool) []chain.Server {
	snapshot := r.control.Snapshot()
	servers := make([]chain.Server, 0, len(pool.Servers))
	for _, row := range pool.Servers {
		if server, ok := snapshot.Servers[row.Name]; ok {
			servers = append(servers, server)
		}
	}
	return servers
}

// attempt opens the stages of one chain and reads its frames; started reports whether it may have run.
func (r *Runner) attempt(ctx context.Context, request Request, answer *stream.Answer, plan chain.Plan, avoid map[string]bool, deliver func(string) error) (started bool, err error) {
	attempt, err := answer.Attempt(plan)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.track(request.Route.Pool, plan)()
	defer r.cancel(context.WithoutCancel(ctx), request.ID, attempt, plan)
	for i, hop := range plan.Hops {
		open := engine.Open{
			Stream: request.ID, Attempt: attempt, Index: i, Hops: plan.Hops,
			Version: plan.Version, Priority: request.Route.Priority,
		}
		if err = r.open(ctx, hop, open); err != nil {
			avoid[hop.Server] = true
			return false, err
		}
	}
	last := plan.Hops[len(plan.Hops)-1]
	run := engine.Run{
		Stream: request.ID, Attempt: attempt, Prompt: request.Prompt,
		Resume: answer.Tokens(), MaxTokens: request.MaxTokens,
	}
	response, err := r.post(ctx, last.Address, engine.PathRun, run)
	if err != nil {
		avoid[last.Server] = true
		return true, err
	}
	defer response.Body.Close()
	if err = r.read(response, answer, deliver); err != nil {
		r.blame(ctx, plan, avoid)
	}
	return true, err
}

func (r *Runner) open(ctx context.Context, hop engine.Hop, open engine.Open) (err error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	response, err := r.post(ctx, hop.Address, engine.PathOpen, open)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// read hands the tokens of one attempt to deliver until the answer is whole.
func (r *Runner) read(response *http.Response, answer *stream.Answer, deliver func(string) error) (err error) {
	defer errors.DeferredAnnotatef(&err, "read frames")
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxFrameBytes)
	for scanner.Scan() {
		var frame engine.Frame
		if err = json.Unmarshal(scanner.Bytes(), &frame); err != nil {
			return err
		}
		decision := answer.Accept(frame)
		switch decision.Verdict {
		case stream.Deliver:
			if err = deliver(frame.Token); err != nil {
				return err
			}
		case stream.Finish:
			return nil
		case stream.Fail:
			return errors.New(decision.Reason)
		case stream.Drop:
		}
	}
	if err = scanner.Err(); err != nil {
		return err
	}
	return errors.New("stream ended before the answer was whole")
}

// blame marks the stages that do not answer a status call, so that the next attempt avoids them.
func (r *Runner) blame(ctx context.Context, plan chain.Plan, avoid map[string]bool) {
	for _, hop := range plan.Hops {
		probe, cancel := context.WithTimeout(ctx, cancelTimeout)
		request, err := http.NewRequestWithContext(probe, http.MethodGet, "http://"+hop.Address+engine.PathStatus, nil)
		if err == nil {
			var response *http.Response
			if response, err = r.http.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}
		if err != nil {
			avoid[hop.Server] = true
		}
		cancel()
	}
}

// cancel ends the attempt at every stage.
func (r *Runner) cancel(ctx context.Context, id string, attempt int, plan chain.Plan) {
	for _, hop := range plan.Hops {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
			defer cancel()
			response, err := r.post(ctx, hop.Address, engine.PathCancel, engine.Cancel{Stream: id, Attempt: attempt})
			if err == nil {
				_ = response.Body.Close()
			}
		}()
	}
}

// post sends a message to an engine and returns its successful answer.
func (r *Runner) post(ctx context.Context, address, path string, message any) (response *http.Response, err error) {
	defer errors.DeferredAnnotatef(&err, "post %s to %s", path, address)
	body, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if response, err = r.http.Do(request); err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	var refusal engine.Refusal
	_ = json.NewDecoder(response.Body).Decode(&refusal)
	_ = response.Body.Close()
	return nil, fmt.Errorf("answered with status code %d: %s", response.StatusCode, refusal.Reason)
}
