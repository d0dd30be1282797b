package control

// StopAsked tells that the planned stop of the instance has begun.
type StopAsked struct{}

func (e StopAsked) apply(_ *Control, next *Snapshot) { next.Stopping = true }
