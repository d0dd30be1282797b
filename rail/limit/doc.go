// Package limit names the sizes at which an instance stops reading what others send, and bounds the memory that all
// requests in progress take together.
package limit
