// Package install decides which generation of the tables an instance puts in
// force, from which sources it fetches the content, and whether the instance is
// ready.
//
// An Installer is a state machine without I/O: the caller passes events to it and
// carries out the actions that it returns.
//
// An instance becomes ready after a start or an isolation once it has caught up,
// that is once all of these hold:
//   - the platform's store (package kv) has responded, or a peer has and
//     Config.StartWait has passed;
//   - the peers have been queried since the start;
//   - the generation in force is not zero and no smaller than the greatest one
//     reported.
//
// It then stays ready, also while it fetches a newer generation, until it is
// isolated.
package install
