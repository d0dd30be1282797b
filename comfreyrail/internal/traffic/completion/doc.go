// Package completion runs completion requests on chains of model engines.
package completion
