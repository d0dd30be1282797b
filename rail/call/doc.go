// Package call defines the metadata that is sent with requests and responses in addition to method, URL path and
// body.
package call
