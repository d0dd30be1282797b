// Package retries holds the retry budget of each pool at one instance.
package retries
