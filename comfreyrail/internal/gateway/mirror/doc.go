// Package mirror passes on between instances what the store says, so that few of them have to read it.
//
// An instance asks another one for what changed after a revision. The answer carries its age, counted before it is sent,
// so that whoever asked can tell how old it is at most from the time of its own question.
package mirror
