// Package headroom limits how far a request may fill the KV memory of engines while it is short.
//
// Without refusals, the limit is MaxFill for all requests. Each refusal reserves some memory, and the reserve decays.
// It lowers the limit of all requests that are less urgent than the refused one. Unless the workspace of the refused
// request is large, a second reserve lowers the limit of the large workspaces, for their requests that are no more
// urgent. A workspace is large if it holds much more memory than an equal share. The limit of a request is MaxFill less
// the largest reserve against it.
package headroom
