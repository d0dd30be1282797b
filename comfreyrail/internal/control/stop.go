package control

// StopRequested tells that the planned stop of the instance has begun.
type StopRequested struct{}

func (e StopRequested) apply(_ *Control, next *Snapshot) { next.Stopping = true }
