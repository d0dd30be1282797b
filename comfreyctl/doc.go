// Comfreyctl edits the routes and pools of comfreyrail and shows its state.
package main
