// Package chain chooses the chain of backend servers that runs a request.
//
// Each backend server holds a range of the layers of a model, and is one stage of a chain; the stages of a chain
// together cover every layer once. A Picker chooses chains of low expected time for each token.
package chain
