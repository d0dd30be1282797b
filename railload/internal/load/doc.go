// Package load sends requests at a stated rate, as callers behind the
// platform's balancer would, and checks and times the answers.
package load
