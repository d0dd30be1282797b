package controltest

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/rail/install"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Install encodes the tables as an edit does and installs them in state, whose Serve must be running.
//
// It returns an error if the tables are not in force afterwards.
func Install(ctx context.Context, state *control.Control, tables *table.Tables) (err error) {
	defer errors.DeferredAnnotatef(&err, "install generation %d", tables.Generation)
	next, err := table.UpdateHead(new(table.Head), tables, table.HistoryEntry{ID: "test", Generation: tables.Generation})
	if err != nil {
		return err
	}
	contents := make([][]byte, 0, len(next.Chunks))
	for _, chunk := range next.Chunks {
		contents = append(contents, chunk.Content)
	}
	for _, action := range handle(ctx, state, install.HeadRead{Manifest: next.Head.Manifest}) {
		if fetch, ok := action.(install.Fetch); ok {
			handle(ctx, state, install.Fetched{Generation: fetch.Generation, From: fetch.From, Contents: contents})
		}
	}
	if got := state.Snapshot().Tables.Generation; got != tables.Generation {
		return errors.Errorf("generation %d is in force", got)
	}
	return nil
}

// handle sends an event to the control goroutine and returns the actions that follow, or nil if ctx ends first.
func handle(ctx context.Context, state *control.Control, event install.Event) []install.Action {
	actions := make(chan []install.Action, 1)
	state.Send(ctx, control.InstallerEvent{At: time.Now(), Event: event, Actions: actions})
	select {
	case received := <-actions:
		return received
	case <-ctx.Done():
		return nil
	}
}
