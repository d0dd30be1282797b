// Package call defines the metadata that is sent with requests and responses beside method, URL path and body.
package call
