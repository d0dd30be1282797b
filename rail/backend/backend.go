package backend

import "time"

// Range is a half-open range of layers.
type Range struct {
	// From is the first layer.
	From int
	// To is the layer after the last.
	To int
}

// Len returns the number of layers in the range.
func (r Range) Len() int { return r.To - r.From }

// Contains reports whether the range includes all layers of the other.
func (r Range) Contains(other Range) bool { return r.From <= other.From && other.To <= r.To }

// Server describes a backend server, as the server reports itself.
type Server struct {
	// ID identifies the server. It may change when the server restarts; if it stays the same, only Born distinguishes
	// the incarnations.
	ID string
	// Born is the start time of the incarnation in Unix milliseconds, zero if it is not reported.
	Born int64
	// Service is the name of the service that it belongs to.
	Service string
	// Address is its host and port.
	Address string
	// Zone is its availability zone.
	Zone string
	// Slots is the maximum number of requests that it processes concurrently.
	Slots int
	// Draining reports whether the server is leaving and takes no new work.
	Draining bool
	// Card is the name of its kind of accelerator; empty for servers that are not engines.
	Card string
	// Layers is the range of layers that it holds; empty if none.
	Layers Range
}

// State is an engine's report of itself; the values may be some hundred milliseconds old.
type State struct {
	// Orders is the number of orders to load layers that this incarnation has accepted.
	Orders int64
	// Busy reports whether the engine is executing an order.
	Busy bool
	// Layers is the range of layers that the engine holds.
	Layers Range
	// Slowness is the ratio of the time that its work takes to the usual time, zero if it is not reported.
	Slowness float64
	// KVUsed is the KV memory that requests hold, in tokens times layers.
	KVUsed float64
	// Stalled lists the requests whose first stage the engine runs and that are waiting for another engine.
	Stalled []StalledRequest
}

// StalledRequest is a request that is waiting for an engine of its chain.
type StalledRequest struct {
	// Request is the ID of the request.
	Request string
	// Address is the address of the engine that it is waiting for.
	Address string
}

// Card describes one kind of accelerator.
type Card struct {
	// Name identifies the kind of accelerator.
	Name string
	// MemoryMB is its memory in megabytes.
	MemoryMB float64
	// DecodeFactor multiplies StepTime and StepTimePerContextToken.
	DecodeFactor float64
	// PrefillFactor multiplies PrefillTimePerToken and StepTimePerSequence.
	PrefillFactor float64
}

// Delay is the network delay between two availability zones; it is the same in both directions.
type Delay struct {
	// From and To are the names of the availability zones.
	From, To string
	// OneWay is the one-way delay.
	OneWay time.Duration
}

// EngineSpec describes the engines of a service and the model that they run. Times are for all layers on an accelerator whose
// factors are 1.
type EngineSpec struct {
	// Layers is the number of layers.
	Layers int
	// LayerMB is the memory of one layer's weights in megabytes.
	LayerMB float64
	// KVTokenBytes is the size of the KV cache of one token over all layers in bytes.
	KVTokenBytes float64
	// StepTime is the time of one decoding step, without the time that requests and their context add.
	StepTime time.Duration
	// StepTimePerSequence is the time that each decoding request adds to a step.
	StepTimePerSequence time.Duration
	// StepTimePerContextToken is the time that each token of context adds to a step.
	StepTimePerContextToken time.Duration
	// PrefillTimePerToken is the time of the prefill of one prompt token.
	PrefillTimePerToken time.Duration
	// StepsPerPass is the number of decoding steps that a request takes for one event of its answer, and so the number of
	// tokens in the event.
	StepsPerPass int
	// LoadTime is the time that loading all layers takes.
	LoadTime time.Duration
	// ActivationBytes is the size of the activations that a stage sends to the next one for each token, in bytes.
	ActivationBytes float64
	// ZoneMbps is the bandwidth between two availability zones in megabits per second; zero means unlimited.
	ZoneMbps float64
	// MeanOutputTokens is the mean number of tokens in an answer.
	MeanOutputTokens int
	// Cards lists the kinds of accelerators.
	Cards []Card
	// Delays lists the delays between availability zones.
	Delays []Delay
}

// Card returns the kind of accelerator with the name, and false if there is none.
func (e *EngineSpec) Card(name string) (card Card, ok bool) {
	for _, card := range e.Cards {
		if card.Name == name {
			return card, true
		}
	}
	return Card{}, false
}

// HasLayers reports whether the model has the layers, which may be none.
func (e *EngineSpec) HasLayers(layers Range) bool {
	return 0 <= layers.From && layers.From <= layers.To && layers.To <= e.Layers
}

// KVCapacity returns the number of tokens whose KV cache over a number of layers fits on a card beside the weights of these
// layers; it returns 0 for no layers.
func (e *EngineSpec) KVCapacity(card Card, layers int) float64 {
	if layers <= 0 {
		return 0
	}
	free := (card.MemoryMB - float64(layers)*e.LayerMB) * 1e6
	return max(free, 0) / (e.KVTokenBytes / float64(e.Layers) * float64(layers))
}
