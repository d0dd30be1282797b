package install

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/table"
)

// candidate is a generation newer than the one in force that is not installed yet.
type candidate struct {
	generation  uint64
	hash        table.Hash
	manifest    *table.Manifest
	sources     []Source
	fetching    bool
	requestedAt time.Time
}

// addCandidate returns the candidate of the generation, creating it if necessary. It adds the source unless the source's hash
// differs or the candidate has maxSources sources. Of more than maxCandidates candidates, it drops the one with the smallest
// generation, which may be the returned one.
func (i *Installer) addCandidate(generation uint64, hash table.Hash, from Source) *candidate {
	for _, c := range i.candidates {
		if c.generation != generation {
			continue
		}
		if i.checkSameContent(generation, c.hash, hash) {
			if !slices.Contains(c.sources, from) && len(c.sources) < maxSources {
				c.sources = append(c.sources, from)
			}
		}
		return c
	}
	c := &candidate{generation: generation, hash: hash, sources: []Source{from}}
	i.candidates = append(i.candidates, c)
	slices.SortStableFunc(i.candidates, func(a, b *candidate) int { return cmp.Compare(b.generation, a.generation) })
	if len(i.candidates) > maxCandidates {
		i.candidates = i.candidates[:maxCandidates]
	}
	return c
}

// removeCandidate removes the candidate, whose content is then no longer fetched.
func (i *Installer) removeCandidate(c *candidate) {
	i.candidates = slices.DeleteFunc(i.candidates, func(other *candidate) bool { return other == c })
}

// fetchOrInstall fetches the missing content of the candidate from its first source, or installs the candidate if
// nothing is missing. A candidate without sources is removed, and the head is read again.
func (i *Installer) fetchOrInstall(c *candidate, now time.Time) []Action {
	if c.fetching || !slices.Contains(i.candidates, c) {
		return nil
	}
	missing, ok := i.missingContent(c)
	if !ok {
		i.removeCandidate(c)
		return nil
	}
	if len(missing) == 0 {
		return i.installCandidate(c)
	}
	if len(c.sources) == 0 {
		i.removeCandidate(c)
		return []Action{ReadHead{}}
	}
	c.fetching, c.requestedAt = true, now
	return []Action{Fetch{Generation: c.generation, From: c.sources[0], Hashes: missing}}
}

// missingContent returns the hashes of the content that the candidate lacks, and false if its manifest is invalid.
func (i *Installer) missingContent(c *candidate) (hashes []table.Hash, ok bool) {
	if c.manifest == nil {
		content, found := i.findContent(c.hash)
		if !found {
			return []table.Hash{c.hash}, true
		}
		manifest, err := table.DecodeManifest(content)
		if err != nil || manifest.Generation != c.generation {
			return nil, false
		}
		c.manifest = manifest
	}
	for _, hash := range c.manifest.Chunks {
		if _, found := i.findContent(hash); !found && !slices.Contains(hashes, hash) {
			hashes = append(hashes, hash)
		}
	}
	return hashes, true
}

// handleFetched stores the fetched content and continues with the candidate. Content that arrives after the fetch
// expired is stored too.
func (i *Installer) handleFetched(event Fetched, now time.Time) []Action {
	for _, c := range i.candidates {
		if c.generation != event.Generation {
			continue
		}
		added := i.storeContents(c, event.Contents)
		if !c.fetching || c.sources[0] != event.From {
			return nil
		}
		if event.Failed || !added {
			return i.tryNextSource(c, now)
		}
		c.fetching = false
		return i.fetchOrInstall(c, now)
	}
	return nil
}

// storeContents stores the contents that the candidate lacks, and reports whether there were any.
func (i *Installer) storeContents(c *candidate, contents [][]byte) (added bool) {
	missing, _ := i.missingContent(c)
	for _, content := range contents {
		if hash := table.HashOf(content); slices.Contains(missing, hash) {
			i.fetched[hash] = content
			added = true
		}
	}
	return added
}

// tryNextSource removes the source of a failed fetch and continues with the next one. If the last source
// was a peer and the manifest is known, the chunks are fetched from the store.
func (i *Installer) tryNextSource(c *candidate, now time.Time) []Action {
	failed := c.sources[0]
	c.sources = c.sources[1:]
	c.fetching = false
	if len(c.sources) == 0 && failed.Peer != "" && c.manifest != nil {
		c.sources = []Source{{}}
	}
	return i.fetchOrInstall(c, now)
}
