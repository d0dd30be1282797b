// Package drain decides which backend servers are leaving, from the tables, the
// platform's list, the servers' own answers and what peers have learnt.
//
// A sign of leaving stops new work at once. What ends it is evidence from the
// same source that is provably later: of the tables, a greater generation; of
// the server, an answer to a question asked after the sign arrived; of the
// platform's list, a reading asked for at least the greatest lag of the list
// after the sign arrived. Peers pass signs on as marks. A mark has an identity
// of its own and is ended by that identity, so an old mark that arrives late
// stays ended, and the end of an old mark does not touch a newer one.
package drain
