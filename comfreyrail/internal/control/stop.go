package control

// ShutdownStarted is sent when the graceful shutdown of the instance has begun.
type ShutdownStarted struct{}

func (e ShutdownStarted) apply(_ *Control, next *Snapshot) { next.Stopping = true }
