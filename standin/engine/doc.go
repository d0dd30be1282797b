// Engine is a stand-in for a model engine that holds a range of layers.
package main
