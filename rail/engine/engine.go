package engine

import "time"

// Paths of an engine's HTTP interface.
const (
	// PathStatus serves GET and returns a Status.
	PathStatus = "/v1/status"
	// PathOpen serves POST of an Open, which prepares one stage of a chain.
	PathOpen = "/v1/open"
	// PathRun serves POST of a Run at the last stage of a chain and returns a stream of Frames.
	PathRun = "/v1/run"
	// PathProbe serves POST of a StreamQuery and returns a Progress.
	PathProbe = "/v1/probe"
	// PathExport serves POST of a StreamQuery and returns the KV cache of the stream at the stage as a KVCache.
	PathExport = "/v1/export"
	// PathCancel serves POST of a Cancel.
	PathCancel = "/v1/cancel"
	// PathActivation serves POST of an Activation, which the previous stage sends.
	PathActivation = "/v1/activation"
	// PathOrder serves POST of an Order.
	PathOrder = "/v1/order"
)

// Stage is one stage of a chain: a backend server and the layers it runs.
type Stage struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// Address is the host and port of the backend server.
	Address string `json:"address"`
	// First is the index of the first layer that the stage runs.
	First int `json:"first"`
	// Last is the layer after the last that the stage runs.
	Last int `json:"last"`
}

// Open is a request to prepare one stage for an attempt of a stream.
type Open struct {
	// Stream is the ID of the caller's request, the same in all its attempts.
	Stream string `json:"stream"`
	// Attempt is the number of the attempt, from 1. Each chain opened for the stream is a new attempt.
	Attempt int `json:"attempt"`
	// Index is the index of the stage in Stages.
	Index int `json:"index"`
	// Stages lists all stages of the chain in order.
	Stages []Stage `json:"hops"`
	// Version is the model version that the stage must hold.
	Version string `json:"version"`
	// Priority orders the streams in the engine: 0 is the least urgent. In call.BackendRequest.Urgency, by
	// contrast, 0 is the most urgent.
	Priority int `json:"priority"`
	// Import is the host and port of a backend server from which the stage can import its KV cache, or empty.
	Import string `json:"import,omitempty"`
}

// Run is a request to the last stage to run an attempt whose stages have all been opened.
type Run struct {
	// Stream is the ID of the caller's request, the same in all its attempts.
	Stream string `json:"stream"`
	// Attempt is the number of the attempt, from 1. Each chain opened for the stream is a new attempt.
	Attempt int `json:"attempt"`
	// Prompt is the text to complete.
	Prompt string `json:"prompt"`
	// Resume lists the tokens already delivered to the caller. The engine processes them together with the prompt and
	// continues after them.
	Resume []string `json:"resume,omitempty"`
	// MaxTokens is the maximum number of tokens in the answer, including those in Resume.
	MaxTokens int `json:"max_tokens"`
}

// Cancel is a request to end a stream at one stage and free its KV cache, for all attempts up to and including Attempt.
type Cancel struct {
	// Stream is the ID of the caller's request, the same in all its attempts.
	Stream string `json:"stream"`
	// Attempt is the last attempt to cancel.
	Attempt int `json:"attempt"`
}

// StreamQuery is a request to a stage for its Progress or KV cache of a stream.
type StreamQuery struct {
	// Stream is the ID of the caller's request, the same in all its attempts.
	Stream string `json:"stream"`
}

// Progress describes how much of a stream a stage has processed.
type Progress struct {
	// Attempt is the number of the open attempt, or zero if the stage has none.
	Attempt int `json:"attempt"`
	// Received is the number of positions in the attempt's answer for which an activation has arrived.
	Received int `json:"received"`
	// Forwarded is the number of positions in the attempt's answer that have been run and forwarded.
	Forwarded int `json:"passed"`
	// CachedTokens is the number of tokens in the stage's KV cache, including the prompt.
	CachedTokens int `json:"held"`
}

// Receipt records the layers that a backend server ran for one token.
type Receipt struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// First is the index of the first layer that was run.
	First int `json:"first"`
	// Last is the layer after the last that was run.
	Last int `json:"last"`
	// Version is the model version that was run.
	Version string `json:"version"`
	// Queue is the number of streams in progress at the backend server.
	Queue int `json:"queue"`
}

// Activation is the intermediate state of one token that a stage sends to the next.
type Activation struct {
	// Stream is the ID of the caller's request, the same in all its attempts.
	Stream string `json:"stream"`
	// Attempt is the number of the attempt, from 1. Each chain opened for the stream is a new attempt.
	Attempt int `json:"attempt"`
	// Index is the index in the chain of the stage that receives the activation.
	Index int `json:"index"`
	// Position is the position of the token in the answer.
	Position int `json:"position"`
	// Context is the hash of the prompt and all earlier tokens of the answer.
	Context uint64 `json:"context"`
	// State is the output of the last layer that was run.
	State uint64 `json:"state"`
	// Previous is the Context of the previous position, or zero at the first position.
	Previous uint64 `json:"previous,omitempty"`
	// Length is the number of tokens before this one, including the prompt.
	Length int `json:"length"`
	// Prefix is the PrefixHash of the prompt, or zero if the prompt is too short to be cached.
	Prefix uint64 `json:"prefix,omitempty"`
	// Receipts holds one Receipt for each stage that has run the token, in order.
	Receipts []Receipt `json:"receipts"`
	// Error is the reason why a stage could not forward the token to the next one. That stage sends the activation with the
	// Error directly to the last stage, which ignores its State.
	Error string `json:"error,omitempty"`
}

// KVCache is the exported KV cache of one stream at one stage.
type KVCache struct {
	// Version is the model version that filled the cache.
	Version string `json:"version"`
	// First is the index of the first layer of the cache.
	First int `json:"first"`
	// Last is the layer after the last of the cache.
	Last int `json:"last"`
	// CachedTokens is the number of tokens in the cache, including the prompt.
	CachedTokens int `json:"held"`
	// Contexts holds the Activation.Context of each position of the answer that has been run.
	Contexts []uint64 `json:"contexts"`
}

// Frame is one message of a streamed answer: a token, a keep-alive, the end of the answer or an error.
type Frame struct {
	// Stream is the ID of the caller's request, the same in all its attempts.
	Stream string `json:"stream"`
	// Attempt is the number of the attempt, from 1. Each chain opened for the stream is a new attempt.
	Attempt int `json:"attempt"`
	// Position is the position of the token in the answer. In an End frame, it is the number of tokens in the answer.
	Position int `json:"position"`
	// Token is the text of the token.
	Token string `json:"token,omitempty"`
	// Trace is the ReceiptsHash of the receipts of the token.
	Trace ReceiptsHash `json:"trace,omitempty"`
	// Receipts holds one Receipt for each stage of the token, in order. It may be empty if Trace is that of the previous token.
	Receipts []Receipt `json:"receipts,omitempty"`
	// End marks the frame after the last token of a complete answer. The frame has one receipt, that of the last stage.
	End bool `json:"end,omitempty"`
	// Finish is the reason why the answer is complete, set in an End frame.
	Finish FinishReason `json:"finish,omitempty"`
	// Sum is the Digest of all tokens of the answer up to and including this one, with those in Run.Resume.
	Sum uint64 `json:"sum,omitempty"`
	// Alive marks a keep-alive frame, which has no token.
	Alive bool `json:"alive,omitempty"`
	// Error is the reason why the engine abandons the attempt.
	Error string `json:"error,omitempty"`
}

// CacheEvent records that an engine added a prompt prefix to its cache or evicted it.
type CacheEvent struct {
	// Sequence is the number of the event. An engine numbers its events without gaps, so a gap means that the reader
	// missed events.
	Sequence uint64 `json:"sequence"`
	// Prefix is the PrefixHash of the prompt prefix.
	Prefix uint64 `json:"prefix"`
	// Evicted reports whether the prefix was evicted rather than added.
	Evicted bool `json:"evicted,omitempty"`
}

// Status describes an engine, or a backend server of a plain service, and its load.
type Status struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// Kind names the kind of accelerator.
	Kind string `json:"kind,omitempty"`
	// First is the index of the first layer that the engine holds.
	First int `json:"first"`
	// Last is the layer after the last that the engine holds.
	Last int `json:"last"`
	// Version is the model version that the engine holds.
	Version string `json:"version,omitempty"`
	// Partial reports whether the engine can run any part of its range of layers rather than only the whole.
	Partial bool `json:"partial,omitempty"`
	// LayerTime is the time that the engine needs to run one layer for one token.
	LayerTime time.Duration `json:"layer_time"`
	// Queue is the number of streams or calls in progress; the reported value lags behind the actual one.
	Queue int `json:"queue"`
	// Slots is the number of streams or calls that can run at the same time.
	Slots int `json:"slots"`
	// Leaving reports whether the backend server is leaving and takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Cache lists the most recent cache events, oldest first.
	Cache []CacheEvent `json:"cache,omitempty"`
}

// Refusal is the body of the response with which a backend server refuses a request before it has run any part of it.
type Refusal struct {
	// Refused is true in every refusal.
	Refused bool `json:"refused"`
	// Reason is the reason for the refusal, such as "leaving", "version" or "overload".
	Reason string `json:"reason"`
}

// Order is a request to an engine to load a range of layers of a model version.
type Order struct {
	// Fence is the fencing token of the sender's lease. An engine that checks it refuses an order with a lower token than
	// it has seen.
	Fence uint64 `json:"fence"`
	// First is the index of the first layer to hold.
	First int `json:"first"`
	// Last is the layer after the last to hold.
	Last int `json:"last"`
	// Version is the model version to hold.
	Version string `json:"version"`
}
