package soak

import (
	"fmt"
	"net/http"
	"time"
)

// restoreStore copies the content of the store, later makes the store fail, and restores it from the copy after that outage. The
// operator then writes the configuration again, and the backend servers write their entries, as they always do.
func (h *harness) restoreStore() string {
	age, outage := h.randomDuration(500*time.Millisecond, 5*time.Second), h.randomDuration(0, 2*time.Second)
	copied := h.store.Copy()
	time.AfterFunc(age, func() { h.store.FailWith(http.StatusServiceUnavailable) })
	time.AfterFunc(age+outage, func() {
		h.readConfig(func() {
			h.store.Restore(copied)
			h.store.PutConfig(h.version, h.keys, h.timeouts)
		})
		h.store.FailWith(0)
	})
	return fmt.Sprintf("from a copy of %v after an outage of %v", age.Round(time.Millisecond), outage.Round(time.Millisecond))
}

// silenceServer makes a healthy backend server fall silent for a time and then go on.
func (h *harness) silenceServer() string {
	s, duration := h.randomServer(), h.randomDuration(300*time.Millisecond, 1500*time.Millisecond)
	s.FallSilent(duration)
	return fmt.Sprintf("%s for %v", s.ID, duration.Round(time.Millisecond))
}
