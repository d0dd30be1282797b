package process

import (
	"math/rand"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/admission"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/chooser"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/retries"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/retry"
)

func provideChooser(loaded settings.Settings, state *control.Control, checker *invariant.Checker) *chooser.Chooser {
	return chooser.New(chooser.Config{
		Control: state, Name: loaded.Name, Zone: loaded.Zone, Now: time.Now, Seed: rand.Int63(), Checker: checker,
	})
}

func provideAdmission(loaded settings.Settings, state *control.Control, checker *invariant.Checker, registry metrics.Registry) *admission.Admission {
	return admission.New(admission.Config{
		Control: state, MaxRunning: loaded.Caller.MaxRunning, MaxQueued: loaded.Caller.MaxQueued,
		Seed: rand.Int63(), Checker: checker, Metrics: registry,
	})
}

func provideRetryBudgets(state *control.Control, registry metrics.Registry) *retries.Budgets {
	return retries.New(retries.Config{Control: state, Budget: retry.BudgetConfig{}, Metrics: registry})
}
