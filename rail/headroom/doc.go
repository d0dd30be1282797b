// Package headroom limits how far a request may fill the memory of engines while memory is short.
//
// Without refusals, the limit is the same for all requests. Each refused request reserves some memory, which decays, for
// requests at least as urgent. Unless its workspace holds much more than its share, it also reserves memory against the
// workspaces that do, except for their more urgent requests. Reserved memory lowers the limit of all other requests.
package headroom
