package control

// StopRequested is sent when the graceful shutdown of the instance has begun.
type StopRequested struct{}

func (e StopRequested) apply(_ *Control, next *Snapshot) { next.Stopping = true }
