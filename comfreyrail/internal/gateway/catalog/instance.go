package catalog

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Instance is the record of a live instance in the store.
type Instance struct {
	// Name is the unique name of the instance.
	Name string `json:"name"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// PeerAddress is the host and port at which other instances reach it, over both TCP and UDP.
	PeerAddress string `json:"peer"`
}

// Encode returns the record as it is stored.
func (i Instance) Encode() (value []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "encode instance %q", i.Name)
	return json.Marshal(i)
}

// DecodeInstance decodes a stored record; it returns an error if the name or the address is missing.
func DecodeInstance(value []byte) (instance Instance, err error) {
	defer errors.DeferredAnnotatef(&err, "decode instance")
	if err = json.Unmarshal(value, &instance); err != nil {
		return instance, err
	}
	if instance.Name == "" || instance.PeerAddress == "" {
		return instance, errors.New("the name or the address is missing")
	}
	return instance, nil
}

// instancesPerReader is the maximum number of instances of an availability zone for each of its readers of the store.
const instancesPerReader = 48

// storeReader returns the instance from which self fetches the changes of the store. It returns false if self must read
// the store itself, because it is a reader or because no instance of its zone is listed.
//
// The readers of a zone are the instances with the highest ranks, one for every instancesPerReader instances.
func storeReader(instances []Instance, self Instance) (reader Instance, ok bool) {
	var sameZone []Instance
	for _, instance := range instances {
		if instance.Zone == self.Zone {
			sameZone = append(sameZone, instance)
		}
	}
	count := (len(sameZone) + instancesPerReader - 1) / instancesPerReader
	readers := highestRanked(sameZone, count)
	if len(readers) == 0 {
		return Instance{}, false
	}
	for _, instance := range readers {
		if instance.Name == self.Name {
			return Instance{}, false
		}
	}
	return readers[xxhash.Sum64String(self.Name)%uint64(len(readers))], true
}

// highestRanked returns up to count instances with the highest ranks, the highest first.
func highestRanked(instances []Instance, count int) []Instance {
	ranked := slices.Clone(instances)
	slices.SortStableFunc(ranked, func(a, b Instance) int { return cmp.Compare(rank(b), rank(a)) })
	return ranked[:min(count, len(ranked))]
}

// rank returns the hash of an instance's zone and name.
func rank(instance Instance) uint64 { return xxhash.Sum64String(instance.Zone + "/" + instance.Name) }

// anyZoneProbability is the probability that the fallback peer is drawn from all zones rather than from this instance's
// zone. Traffic between zones is expensive, but all instances of a zone may be unable to reach the store.
const anyZoneProbability = 0.25

// fallbackPeer returns a random instance, usually of the same availability zone, from which an instance that cannot reach
// the store fetches changes; it returns false if there is no other instance.
func fallbackPeer(instances []Instance, self Instance) (peer Instance, ok bool) {
	var sameZone, others []Instance
	for _, instance := range instances {
		if instance.Name == self.Name {
			continue
		}
		others = append(others, instance)
		if instance.Zone == self.Zone {
			sameZone = append(sameZone, instance)
		}
	}
	if len(sameZone) > 0 && rand.Float64() >= anyZoneProbability {
		others = sameZone
	}
	if len(others) == 0 {
		return Instance{}, false
	}
	return others[rand.IntN(len(others))], true
}
