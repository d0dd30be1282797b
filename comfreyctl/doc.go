// Comfreyctl edits the routes and pools of comfreyrail and shows the state of its instances.
package main
