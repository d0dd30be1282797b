//go:build wireinject

package process

import (
	"github.com/google/wire"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
)

// Build returns a Process with the settings.
func Build(loaded settings.Settings) (*Process, error) {
	wire.Build(
		provideLog,
		provideMetrics,
		provideHTTPClient,
		provideRunClock,
		provideChecker,
		provideStore,
		provideControl,
		provideConfigSync,
		provideIdentity,
		provideSelf,
		provideMembership,
		providePeerTransport,
		provideLink,
		provideProber,
		provideLister,
		provideChooser,
		provideAdmission,
		provideRetryBudgets,
		provideCompletionRunner,
		provideDispatcher,
		provideClaims,
		provideRelay,
		provideCallerServer,
		provideAdminServer,
		wire.Struct(new(Components), "*"), New,
	)
	return nil, nil
}
