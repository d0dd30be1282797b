// Package poison finds the parts of prompts under which engines crash, and the whole requests under which any servers do, so that no
// more requests with them are sent.
//
// An engine that crashes takes all its requests with it, so a single crash tells little. Several engines that crashed while
// requests with one part were waiting for the begin of their answers tell that the part is poisoned, unless an answer to a prompt
// with it began at about that time or later. So do more engines that crashed before answers were whole, unless one was whole. Three
// servers that crashed before a request was answered whole tell the same of the request, by its digest. No
// instance sees enough crashes by itself in time, so instances share what they saw as reports, within limits that hold for all of them
// together, and tell each other of a crash at once.
package poison
