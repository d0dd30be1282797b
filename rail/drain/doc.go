// Package drain determines which backend servers are leaving, from the tables,
// the platform's list, the servers' own responses and the marks of peers.
//
// A report is a statement by one of the first three sources that a server is
// leaving; it stops new work for the server at once. Only later evidence from
// the same source ends it: a greater generation of the tables; a response of
// the server to a request that was sent after the report arrived; or a read of
// the platform's list that was sent more than Config.ListLag after the report
// arrived.
//
// Instances send reports to their peers as marks. Each mark has an identity, and
// its end names this identity. An old mark that arrives late therefore stays
// ended, and its end does not affect a newer mark of the same server.
package drain
