package install

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/table"
)

// candidate is a newer generation whose content is being gathered.
type candidate struct {
	generation uint64
	hash       table.Hash
	manifest   *table.Manifest
	sources    []Source
	fetching   bool
	asked      time.Time
}

// add returns the candidate of the generation, with the source among its sources.
func (i *Installer) add(generation uint64, hash table.Hash, from Source) *candidate {
	for _, c := range i.candidates {
		if c.generation != generation {
			continue
		}
		if i.same(generation, c.hash, hash) {
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

// drop ends the work on a candidate.
func (i *Installer) drop(c *candidate) {
	i.candidates = slices.DeleteFunc(i.candidates, func(other *candidate) bool { return other == c })
}

// gather fetches what the candidate lacks, or installs it.
func (i *Installer) gather(c *candidate, now time.Time) []Action {
	if c.fetching || !slices.Contains(i.candidates, c) {
		return nil
	}
	missing, ok := i.missing(c)
	if !ok {
		i.drop(c)
		return nil
	}
	if len(missing) == 0 {
		return i.install(c)
	}
	if len(c.sources) == 0 {
		i.drop(c)
		return []Action{ReadHead{}}
	}
	c.fetching, c.asked = true, now
	return []Action{Fetch{Generation: c.generation, From: c.sources[0], Hashes: missing}}
}

// missing returns the hashes of the content that the candidate lacks, and false if its manifest is unusable.
func (i *Installer) missing(c *candidate) (hashes []table.Hash, ok bool) {
	if c.manifest == nil {
		content, found := i.find(c.hash)
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
		if _, found := i.find(hash); !found && !slices.Contains(hashes, hash) {
			hashes = append(hashes, hash)
		}
	}
	return hashes, true
}

// keep takes the content that a fetch brought and goes on; content that comes late is kept too.
func (i *Installer) keep(event Fetched, now time.Time) []Action {
	for _, c := range i.candidates {
		if c.generation != event.Generation {
			continue
		}
		stored := i.store(c, event.Contents)
		if !c.fetching || c.sources[0] != event.From {
			return nil
		}
		if event.Failed || !stored {
			return i.retreat(c, now)
		}
		c.fetching = false
		return i.gather(c, now)
	}
	return nil
}

// store keeps the contents that the candidate lacks, and reports whether there were any.
func (i *Installer) store(c *candidate, contents [][]byte) (stored bool) {
	missing, _ := i.missing(c)
	for _, content := range contents {
		if hash := table.HashOf(content); slices.Contains(missing, hash) {
			i.fetched[hash] = content
			stored = true
		}
	}
	return stored
}

// retreat gives up the source of a failed fetch and goes on with the next one; the service is the last for chunks.
func (i *Installer) retreat(c *candidate, now time.Time) []Action {
	failed := c.sources[0]
	c.sources = c.sources[1:]
	c.fetching = false
	if len(c.sources) == 0 && failed.Peer != "" && c.manifest != nil {
		c.sources = []Source{{}}
	}
	return i.gather(c, now)
}
