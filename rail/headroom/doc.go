// Package headroom decides how far a request may fill the memory of engines while there is not enough for all.
//
// While nobody is refused every request may fill them alike. Each refusal of an urgent request, or of one from a workspace
// that holds no more than its share, keeps some memory for its kind for a while: other requests are refused a little earlier.
package headroom
