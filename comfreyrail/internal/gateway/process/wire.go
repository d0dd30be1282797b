//go:build wireinject

package process

import (
	"github.com/google/wire"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/forward"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/placer"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
)

// Build returns a Gateway built from its settings.
func Build(loaded settings.Gateway) (*Gateway, error) {
	wire.Build(
		provideLog,
		provideRunClock,
		provideMetrics,
		provideMemoryBudgets,
		provideChecker,
		provideStore,
		provideNotices,
		provideEngines,
		provideSelf,
		provideCatalog,
		provideMirror,
		provideLeaseConfig,
		placer.NewMembership,
		providePlacer,
		provideUpstream,
		provideBudgets,
		providePeerUsage,
		provideQuarantine,
		provideForwarder,
		provideExchange,
		forward.NewProber,
		NewCallerServer,
		provideOperatorServer,
		wire.Struct(new(Components), "*"), New,
	)
	return nil, nil
}
