//go:build wireinject

package process

import (
	"github.com/google/wire"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
)

// Build builds a Process from its settings.
func Build(loaded settings.Settings) (*Process, error) {
	wire.Build(
		provideLog,
		provideMetrics,
		provideHTTP,
		provideChecker,
		provideStore,
		provideControl,
		provideSync,
		provideIdentity,
		provideSelf,
		provideMembership,
		providePeers,
		provideLinks,
		provideProber,
		provideLister,
		provideChooser,
		provideAdmission,
		provideRetries,
		provideRunner,
		provideDispatcher,
		provideClaims,
		provideRelay,
		provideEntry,
		provideAdmin,
		wire.Struct(new(Services), "*"), New,
	)
	return nil, nil
}
