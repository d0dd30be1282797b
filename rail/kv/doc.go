// Package kv implements a client of the platform's store, a key-value service that holds records with versions. It is for the
// router mode (command run); package store defines the types of the store of the gateway mode (command gateway).
package kv
