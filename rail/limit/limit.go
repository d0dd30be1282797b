package limit

// Limits of what is read from backend servers, the store and other instances.
const (
	// HeadBytes is the maximum size of the heads of one response in bytes: status lines and headers of the final response
	// and of the interim ones (status 1xx) before it.
	HeadBytes = 32 << 10
	// HeadLines is the maximum number of lines in these heads, since a header takes far more memory than its text.
	HeadLines = 256
	// InterimResponses is the maximum number of interim responses before the final one.
	InterimResponses = 8
	// EventBytes is the maximum size of one event of a stream in bytes.
	EventBytes = 256 << 10
	// HeldBytes is the maximum number of bytes of a response that are held back until the response is complete, so that
	// another server can be tried if it breaks off. A larger response is passed on while it is read.
	HeldBytes = 32 << 10
	// EngineReportBytes is the maximum size of an engine's report in bytes.
	EngineReportBytes = 256 << 10
	// EngineMessageBytes is the maximum size in bytes of a message of an engine of the router mode that is not a stream of
	// frames: a refusal or the result of a probe.
	EngineMessageBytes = 64 << 10
	// StoreResponseBytes is the maximum size of a response of the store in bytes. The largest ones hold a page of items or a
	// value in base64.
	StoreResponseBytes = 8 << 20
	// ChangesBytes is the maximum size of the changes that another instance sends, in bytes.
	ChangesBytes = 16 << 20
)

// FreeBytes is the memory in bytes that each head and each Buffer may take without asking a Budget. Ordinary requests,
// responses and events are smaller.
const FreeBytes = 4 << 10
