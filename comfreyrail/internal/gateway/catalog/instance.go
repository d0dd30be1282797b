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
	// Name identifies the instance.
	Name string `json:"name"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// PeerAddress is the host and port, over TCP and UDP, at which other instances reach it.
	PeerAddress string `json:"peer"`
}

// Encode writes the record.
func (i Instance) Encode() (value []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "encode instance %q", i.Name)
	return json.Marshal(i)
}

// DecodeInstance reads a record.
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

// readersPer is the number of instances of an availability zone that one reader of the store serves.
const readersPer = 24

// readerOf returns the instance that reads the store for this one, and false if this one reads itself.
//
// The readers are those of the zone with the highest hashes, one for every readersPer instances.
func readerOf(instances []Instance, self Instance) (reader Instance, ok bool) {
	var near []Instance
	for _, instance := range instances {
		if instance.Zone == self.Zone {
			near = append(near, instance)
		}
	}
	readers := (len(near) + readersPer - 1) / readersPer
	chosen := highest(near, readers)
	if len(chosen) == 0 {
		return Instance{}, false
	}
	for _, instance := range chosen {
		if instance.Name == self.Name {
			return Instance{}, false
		}
	}
	return chosen[xxhash.Sum64String(self.Name)%uint64(len(chosen))], true
}

// highest returns so many instances with the highest hashes of their names, the highest first.
func highest(instances []Instance, count int) []Instance {
	ranked := slices.Clone(instances)
	slices.SortStableFunc(ranked, func(a, b Instance) int { return cmp.Compare(rank(b), rank(a)) })
	return ranked[:min(count, len(ranked))]
}

func rank(instance Instance) uint64 { return xxhash.Sum64String(instance.Zone + "/" + instance.Name) }

// farHelp is the chance that an instance of any zone is asked for help rather than one of the own zone, as bytes between
// zones are dear, but a whole zone may be without news.
const farHelp = 0.25

// helperOf returns another instance, mostly one of the own availability zone, for one that does not reach the store.
func helperOf(instances []Instance, self Instance) (helper Instance, ok bool) {
	var near, others []Instance
	for _, instance := range instances {
		if instance.Name == self.Name {
			continue
		}
		others = append(others, instance)
		if instance.Zone == self.Zone {
			near = append(near, instance)
		}
	}
	if len(near) > 0 && rand.Float64() >= farHelp {
		others = near
	}
	if len(others) == 0 {
		return Instance{}, false
	}
	return others[rand.IntN(len(others))], true
}
