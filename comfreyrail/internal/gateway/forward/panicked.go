package forward

import (
	"runtime/debug"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// recordPanic logs and counts a panic of a goroutine of its own, from which it must have recovered: it would end the process.
func (c *Config) recordPanic(what string, reason any) {
	metrics.GetOrRegisterCounter("requests.panicked", c.Metrics).Inc(1)
	c.Log.WithFields(logrus.Fields{"what": what, "reason": reason, "stack": string(debug.Stack())}).Error("a goroutine panicked")
}
