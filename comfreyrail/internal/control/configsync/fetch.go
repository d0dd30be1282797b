package configsync

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/install"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

const (
	// maxSingleReads is the number of chunks above which one listing is cheaper than a read of each.
	maxSingleReads = 16
	// parallelFetches is the number of chunks that are fetched from a peer at a time.
	parallelFetches = 8
)

// fetch fetches content and tells the control goroutine how that ended.
func (s *Sync) fetch(ctx context.Context, action install.Fetch) {
	contents, err := s.fetchAll(ctx, action)
	if err != nil {
		s.count("config.fetch.failed")
		s.log.WithError(err).WithField("generation", action.Generation).Warn("cannot fetch tables")
	}
	s.hear(ctx, install.Fetched{Generation: action.Generation, From: action.From, Contents: contents, Failed: err != nil})
}

// fetchAll returns the contents under the hashes, or as many as it got.
func (s *Sync) fetchAll(ctx context.Context, action install.Fetch) (contents [][]byte, err error) {
	defer errors.DeferredAnnotatef(&err, "fetch %d chunks from %q", len(action.Hashes), action.From.Peer)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch {
	case action.From.Peer != "" && s.FetchFromPeer == nil:
		return nil, errors.New("peers cannot be asked")
	case action.From.Peer != "":
		return parallel(action.Hashes, func(hash table.Hash) ([]byte, error) {
			return s.FetchFromPeer(ctx, action.From.Peer, hash.String())
		})
	case len(action.Hashes) > maxSingleReads:
		return s.list(ctx)
	}
	return parallel(action.Hashes, func(hash table.Hash) ([]byte, error) {
		record, failure := s.store.Get(ctx, chunkPrefix+hash.String())
		return record.Value, failure
	})
}

// list returns the contents of all chunks in the platform's service.
func (s *Sync) list(ctx context.Context) (contents [][]byte, err error) {
	records, err := s.store.List(ctx, chunkPrefix)
	for _, record := range records {
		contents = append(contents, record.Value)
	}
	return contents, err
}

// parallel returns what get returns for each hash, and one of the errors.
func parallel(hashes []table.Hash, get func(table.Hash) ([]byte, error)) (contents [][]byte, err error) {
	var (
		running sync.WaitGroup
		mu      sync.Mutex
	)
	slots := make(chan struct{}, parallelFetches)
	for _, hash := range hashes {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			content, failure := get(hash)
			mu.Lock()
			defer mu.Unlock()
			if failure != nil {
				err = failure
				return
			}
			contents = append(contents, content)
		})
	}
	running.Wait()
	return contents, err
}
