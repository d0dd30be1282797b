// Package headroom limits the fraction up to which a request may fill an engine's KV memory, so that memory stays free
// for urgent requests and small workspaces while it is scarce.
//
// Without refusals, the limit is MaxFill for all requests. A refusal increases a reserve against requests that are less
// urgent than the refused one. Unless the refused request's workspace is large, it also increases a reserve against the
// requests of large workspaces that are not more urgent than the refused one. Reserves decay. The limit of a request is
// MaxFill less the largest reserve against it. A workspace is large if it holds more than largeFactor times an equal
// share of the memory that all workspaces hold, and more than its usual share, which is learned while nothing is refused.
//
// A Limiter also says how long refused requests should wait: as long as it would take to serve all those refused lately, in
// proportion to those that started, of which a part are new requests.
package headroom
