package configsync

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/install"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

const (
	// maxSingleReads is the number of chunks above which one list call is cheaper than reading each chunk.
	maxSingleReads = 16
	// parallelFetches is the maximum number of chunks that are fetched concurrently.
	parallelFetches = 8
)

// fetch fetches the content of an action and sends the result to the control goroutine.
func (s *Sync) fetch(ctx context.Context, action install.Fetch) {
	contents, err := s.fetchAll(ctx, action)
	if err != nil {
		s.count("config.fetch.failed")
		s.log.WithError(err).WithField("generation", action.Generation).Warn("cannot fetch tables")
	}
	s.handleEvent(ctx, install.Fetched{Generation: action.Generation, From: action.From, Contents: contents, Failed: err != nil})
}

// fetchAll returns the contents with the hashes of the action, possibly with other chunks of the store; after an error
// it returns those that were fetched.
func (s *Sync) fetchAll(ctx context.Context, action install.Fetch) (contents [][]byte, err error) {
	defer errors.DeferredAnnotatef(&err, "fetch %d contents from peer %q (an empty name means the store)", len(action.Hashes), action.From.Peer)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch {
	case action.From.Peer != "" && s.FetchFromPeer == nil:
		return nil, errors.New("fetching from peers is not configured")
	case action.From.Peer != "":
		return fetchParallel(action.Hashes, func(hash table.Hash) ([]byte, error) {
			return s.FetchFromPeer(ctx, action.From.Peer, hash.String())
		})
	case len(action.Hashes) > maxSingleReads:
		return s.listContents(ctx)
	}
	return fetchParallel(action.Hashes, func(hash table.Hash) ([]byte, error) {
		record, getErr := s.store.Get(ctx, chunkPrefix+hash.String())
		return record.Value, getErr
	})
}

// listContents returns the contents of all chunks in the store.
func (s *Sync) listContents(ctx context.Context) (contents [][]byte, err error) {
	records, err := s.store.List(ctx, chunkPrefix)
	for _, record := range records {
		contents = append(contents, record.Value)
	}
	return contents, err
}

// fetchParallel calls get for each hash, up to parallelFetches at a time, and returns the contents in no particular
// order and one of the errors.
func fetchParallel(hashes []table.Hash, get func(table.Hash) ([]byte, error)) (contents [][]byte, err error) {
	var (
		running sync.WaitGroup
		mu      sync.Mutex
	)
	slots := make(chan struct{}, parallelFetches)
	for _, hash := range hashes {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			content, getErr := get(hash)
			mu.Lock()
			defer mu.Unlock()
			if getErr != nil {
				err = getErr
				return
			}
			contents = append(contents, content)
		})
	}
	running.Wait()
	return contents, err
}
