package engine

import "time"

// Paths of the engine's HTTP interface.
const (
	// PathStatus answers GET with a Status.
	PathStatus = "/v1/status"
	// PathOpen takes POST of an Open and prepares one stage of a chain.
	PathOpen = "/v1/open"
	// PathRun takes POST of a Run at the last stage and streams Frames.
	PathRun = "/v1/run"
	// PathProbe takes POST of a StreamQuery and answers with a Progress.
	PathProbe = "/v1/probe"
	// PathExport takes POST of a StreamQuery and answers with the KV cache of the stream at the stage.
	PathExport = "/v1/export"
	// PathCancel takes POST of a Cancel.
	PathCancel = "/v1/cancel"
	// PathActivation takes POST of an Activation from the previous stage.
	PathActivation = "/v1/activation"
	// PathOrder takes POST of an Order.
	PathOrder = "/v1/order"
)

// Hop is one stage of a chain: a backend server and the layers it runs.
type Hop struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// Address is the host and port of the backend server.
	Address string `json:"address"`
	// First is the first layer that the stage runs.
	First int `json:"first"`
	// Last is the layer after the last one that the stage runs.
	Last int `json:"last"`
}

// Open prepares one stage for a stream.
type Open struct {
	// Stream identifies the request over all its attempts.
	Stream string `json:"stream"`
	// Attempt counts the chains that have been opened for the stream.
	Attempt int `json:"attempt"`
	// Index is the position of the stage in Hops.
	Index int `json:"index"`
	// Hops is the whole chain.
	Hops []Hop `json:"hops"`
	// Version is the version of the model that the stage must hold.
	Version string `json:"version"`
	// Priority orders streams in the engine, 0 the lowest.
	Priority int `json:"priority"`
	// Import is the host and port of a backend server that can export the KV cache of the stage, or empty.
	Import string `json:"import,omitempty"`
}

// Run starts a stream whose stages have been opened; it goes to the last stage.
type Run struct {
	// Stream identifies the request over all its attempts.
	Stream string `json:"stream"`
	// Attempt counts the chains that have been opened for the stream.
	Attempt int `json:"attempt"`
	// Prompt is the text to complete.
	Prompt string `json:"prompt"`
	// Resume holds the tokens already delivered, which the engine replays.
	Resume []string `json:"resume,omitempty"`
	// MaxTokens is the number of tokens to generate, the resumed ones included.
	MaxTokens int `json:"max_tokens"`
}

// Cancel ends a stream at one stage and frees its KV cache; attempts up to and including Attempt are dropped.
type Cancel struct {
	// Stream identifies the request over all its attempts.
	Stream string `json:"stream"`
	// Attempt is the last attempt to cancel.
	Attempt int `json:"attempt"`
}

// StreamQuery asks a stage about a stream.
type StreamQuery struct {
	// Stream identifies the request over all its attempts.
	Stream string `json:"stream"`
}

// Progress says how far a stage has come with a stream.
type Progress struct {
	// Attempt is the attempt that is open, zero if the stage knows none.
	Attempt int `json:"attempt"`
	// Received is the number of positions of the attempt's answer whose activations have arrived.
	Received int `json:"received"`
	// Forwarded is the number of positions of the attempt's answer that have been run and passed on.
	Forwarded int `json:"passed"`
	// CachedTokens is the number of tokens, prompt included, in the stage's KV cache.
	CachedTokens int `json:"held"`
}

// Receipt says which layers a backend server ran for one token.
type Receipt struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// First is the first layer that was run.
	First int `json:"first"`
	// Last is the layer after the last one that was run.
	Last int `json:"last"`
	// Version is the version of the model that was run.
	Version string `json:"version"`
	// Queue is the number of streams at the backend server.
	Queue int `json:"queue"`
}

// Activation carries the state of one token from one stage to the next.
type Activation struct {
	// Stream identifies the request over all its attempts.
	Stream string `json:"stream"`
	// Attempt counts the chains that have been opened for the stream.
	Attempt int `json:"attempt"`
	// Index is the position in the chain of the stage that receives the activation.
	Index int `json:"index"`
	// Position is the position of the token in the answer.
	Position int `json:"position"`
	// Context is the hash of the prompt and all earlier tokens.
	Context uint64 `json:"context"`
	// State is the state after the last layer that was run.
	State uint64 `json:"state"`
	// Previous is the Context of the position before, zero at the first position.
	Previous uint64 `json:"previous,omitempty"`
	// Length is the number of tokens, prompt included, before this one.
	Length int `json:"length"`
	// Prefix is the hash of the beginning of the prompt, zero if the prompt is too short to be cached.
	Prefix uint64 `json:"prefix,omitempty"`
	// Receipts lists the stages that the token has passed.
	Receipts []Receipt `json:"receipts"`
	// Error tells the last stage, instead of a state, why another stage cannot pass the token on.
	Error string `json:"error,omitempty"`
}

// KV is the export of the KV cache of one stream at one stage.
type KV struct {
	// Version is the version of the model that filled the cache.
	Version string `json:"version"`
	// First is the first layer of the cache.
	First int `json:"first"`
	// Last is the layer after the last one of the cache.
	Last int `json:"last"`
	// CachedTokens is the number of tokens in the cache, prompt included.
	CachedTokens int `json:"held"`
	// Contexts holds for each position of the answer that was run the hash of all tokens before.
	Contexts []uint64 `json:"contexts"`
}

// Frame is one token of a streamed answer, or its end.
type Frame struct {
	// Stream identifies the request over all its attempts.
	Stream string `json:"stream"`
	// Attempt counts the chains that have been opened for the stream.
	Attempt int `json:"attempt"`
	// Position is the position of the token in the answer; of an end, the number of tokens.
	Position int `json:"position"`
	// Token is the text of the token.
	Token string `json:"token,omitempty"`
	// Trace is the TraceOf the receipts of the token.
	Trace Trace `json:"trace,omitempty"`
	// Receipts lists the stages that the token passed, in order; they may be left out if Trace is that of the token before.
	Receipts []Receipt `json:"receipts,omitempty"`
	// End marks the frame after the last token of a complete answer; its one receipt is that of the last stage.
	End bool `json:"end,omitempty"`
	// Finish says in an end why the answer is complete.
	Finish FinishReason `json:"finish,omitempty"`
	// Sum is the Digest of all tokens of the answer up to and with this one, those resumed included.
	Sum uint64 `json:"sum,omitempty"`
	// Alive marks a frame without a token that only shows that the stream is alive.
	Alive bool `json:"alive,omitempty"`
	// Error is the reason why the engine gives up the stream.
	Error string `json:"error,omitempty"`
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	// Sequence numbers the events of one engine without gaps; a reader may see gaps.
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the prefix.
	Prefix uint64 `json:"prefix"`
	// Evicted tells that the prefix left the cache.
	Evicted bool `json:"evicted,omitempty"`
}

// Status is what an engine or plain service reports about itself.
type Status struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// Kind is the kind of accelerator.
	Kind string `json:"kind,omitempty"`
	// First is the first layer that the engine holds.
	First int `json:"first"`
	// Last is the layer after the last one that the engine holds.
	Last int `json:"last"`
	// Version is the version of the model that the engine holds.
	Version string `json:"version,omitempty"`
	// Partial tells that the engine runs any part of its range.
	Partial bool `json:"partial,omitempty"`
	// LayerTime is the time that one layer takes for one token.
	LayerTime time.Duration `json:"layer_time"`
	// Queue is the number of streams or calls in progress, reported with a lag.
	Queue int `json:"queue"`
	// Slots is the number of streams or calls that run at once.
	Slots int `json:"slots"`
	// Leaving tells that the backend server takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Cache lists recent cache events.
	Cache []CacheEvent `json:"cache,omitempty"`
}

// Refusal is the body of an engine's answer that refuses a request before running any of it.
type Refusal struct {
	// Refused is true in every refusal.
	Refused bool `json:"refused"`
	// Reason says why, such as "leaving", "version" or "overload".
	Reason string `json:"reason"`
}

// Order asks an engine to hold a range of layers of a model version.
type Order struct {
	// Fence is the fencing number of the sender's lease; engines that check it refuse older ones.
	Fence uint64 `json:"fence"`
	// First is the first layer to hold.
	First int `json:"first"`
	// Last is the layer after the last one to hold.
	Last int `json:"last"`
	// Version is the version of the model to hold.
	Version string `json:"version"`
}
