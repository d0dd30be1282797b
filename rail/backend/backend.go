package backend

import "time"

// Range is a range of layers.
type Range struct {
	// From is the first layer.
	From int
	// To is the layer after the last.
	To int
}

// Len returns the number of layers.
func (r Range) Len() int { return r.To - r.From }

// Contains reports whether the range holds all layers of the other.
func (r Range) Contains(other Range) bool { return r.From <= other.From && other.To <= r.To }

// Server is a backend server as it describes itself.
type Server struct {
	// ID names one incarnation, except for servers that start again under the same name.
	ID string
	// Born is the start of the incarnation in Unix milliseconds.
	Born int64
	// Service is the service that it belongs to.
	Service string
	// Address is its host and port.
	Address string
	// Zone is its availability zone.
	Zone string
	// Slots is the number of requests that it works on at once.
	Slots int
	// Draining tells that it takes no new work.
	Draining bool
	// Card names the kind of its accelerator; empty for plain servers.
	Card string
	// Layers is the range of layers that it holds; empty if none.
	Layers Range
}

// State is what an engine reports of itself; it is some hundred milliseconds old.
type State struct {
	// Orders is the number of orders that this incarnation has accepted.
	Orders int64
	// Busy tells that it carries out an order.
	Busy bool
	// Layers is the range that it holds.
	Layers Range
	// Slowness is how many times the usual time its work takes, zero if it does not say.
	Slowness float64
	// KVUsed is the memory that requests hold, in tokens times layers.
	KVUsed float64
	// Stalled lists the requests that it was sent first and that another engine holds up.
	Stalled []Stall
}

// Stall is a request that an engine of its path holds up.
type Stall struct {
	// Request is the id of the request.
	Request string
	// Address is the engine that holds it up.
	Address string
}

// Card describes one kind of accelerator.
type Card struct {
	// Name identifies the kind.
	Name string
	// MemoryMB is its memory in megabytes.
	MemoryMB float64
	// DecodeFactor multiplies the time of a step and of its context.
	DecodeFactor float64
	// PrefillFactor multiplies all other times.
	PrefillFactor float64
}

// Delay is the time of one way between two availability zones.
type Delay struct {
	// From and To are the availability zones.
	From, To string
	// OneWay is the delay of one way.
	OneWay time.Duration
}

// EngineSpec describes the model engines of a service; times are for all layers on an accelerator of pace 1.
type EngineSpec struct {
	// Layers is the number of layers.
	Layers int
	// LayerMB is the memory of one layer's weights in megabytes.
	LayerMB float64
	// KVTokenBytes is the size of the KV cache of one token over all layers in bytes.
	KVTokenBytes float64
	// StepTime is the time of one step.
	StepTime time.Duration
	// PerSequence is the time that each writing request adds to a step.
	PerSequence time.Duration
	// PerContext is the time that each token of context adds to a step.
	PerContext time.Duration
	// PerPromptToken is the time of reading one token of a prompt.
	PerPromptToken time.Duration
	// StepsPerPass is the number of steps in one pass.
	StepsPerPass int
	// LoadTime is the time of loading all layers.
	LoadTime time.Duration
	// ActivationBytes is what one token sends from stage to stage in bytes.
	ActivationBytes float64
	// ZoneMbps is the rate between availability zones in megabits per second.
	ZoneMbps float64
	// MeanOutputTokens is the mean number of tokens in an answer.
	MeanOutputTokens int
	// Cards lists the kinds of accelerators.
	Cards []Card
	// Delays lists the delays between availability zones.
	Delays []Delay
}

// Card returns the kind of that name.
func (e *EngineSpec) Card(name string) (card Card, ok bool) {
	for _, card := range e.Cards {
		if card.Name == name {
			return card, true
		}
	}
	return Card{}, false
}

// KVCapacity returns the number of tokens whose KV cache fits beside the layers on a card, over those layers.
func (e *EngineSpec) KVCapacity(card Card, layers int) float64 {
	if layers <= 0 {
		return 0
	}
	free := (card.MemoryMB - float64(layers)*e.LayerMB) * 1e6
	return max(free, 0) / (e.KVTokenBytes / float64(e.Layers) * float64(layers))
}
