// Package kv implements a client of the platform's key-value service, which holds records with versions. Package store
// defines the types of the gateway's store.
package kv
