package admin

import (
	"net/http"
	"runtime"

	"github.com/emicklei/go-restful/v3"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Status is the response body with the state of the fleet.
type Status struct {
	// Instance is the name of the instance that wrote the response.
	Instance string `json:"instance"`
	// Generation is the generation of the tables in force at that instance.
	Generation uint64 `json:"generation"`
	// ConfigUnreadyReason is the reason why the configuration keeps that instance from being ready, or empty if it does
	// not.
	ConfigUnreadyReason string `json:"obstacle,omitempty"`
	// Members lists the instances with the generation in force at each, which is zero for an instance that does not respond.
	Members []member.Member `json:"members"`
}

// Dump is the response body of GET /dump: the state of the instance, without secrets.
type Dump struct {
	// Generation is the generation of the tables in force.
	Generation uint64 `json:"generation"`
	// Hash is the hash of the manifest of that generation.
	Hash string `json:"hash"`
	// ConfigUnreadyReason is the reason why the configuration keeps the instance from being ready, or empty if it does
	// not.
	ConfigUnreadyReason string `json:"obstacle,omitempty"`
	// Stopping reports whether the instance is stopping gracefully.
	Stopping bool `json:"stopping"`
	// Tables holds the tables in force.
	Tables *table.Tables `json:"tables"`
	// Servers holds the known state of each backend server by name.
	Servers map[string]*chain.Server `json:"servers"`
	// Self is the record of this incarnation.
	Self member.Member `json:"self"`
	// Superseded reports whether a later incarnation of this instance is known.
	Superseded bool `json:"superseded"`
	// Fleet holds the known state of each instance.
	Fleet []gossip.Update `json:"fleet"`
	// Metrics holds the metrics of the process.
	Metrics metrics.Registry `json:"metrics"`
	// Goroutines is the number of goroutines.
	Goroutines int `json:"goroutines"`
	// HeapBytes is the number of bytes of allocated heap objects.
	HeapBytes uint64 `json:"heapbytes"`
}

func (s *Server) ready(_ *restful.Request, w *restful.Response) {
	if reason := s.config.Control.Snapshot().UnreadyReason(); reason != "" {
		_ = w.WriteErrorString(http.StatusServiceUnavailable, reason+"\n")
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) status(r *restful.Request, w *restful.Response) {
	snapshot := s.config.Control.Snapshot()
	status := Status{Instance: snapshot.Self.Name, Generation: snapshot.Tables.Generation, ConfigUnreadyReason: snapshot.ConfigUnreadyReason}
	if s.config.Members != nil {
		status.Members = s.config.Members(r.Request.Context())
	}
	_ = w.WriteAsJson(status)
}

func (s *Server) dump(_ *restful.Request, w *restful.Response) { _ = w.WriteAsJson(s.Dump()) }

// Dump returns the state of the instance.
func (s *Server) Dump() Dump {
	snapshot, offer := s.config.Control.Snapshot(), s.config.Sync.LocalOffer()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Dump{
		Generation: offer.Generation, Hash: offer.Hash, ConfigUnreadyReason: snapshot.ConfigUnreadyReason, Tables: snapshot.Tables, Servers: snapshot.Servers,
		Self: snapshot.Self, Superseded: snapshot.Superseded, Fleet: snapshot.KnownInstances, Metrics: s.config.Metrics,
		Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc, Stopping: snapshot.Stopping,
	}
}

func (s *Server) metrics(_ *restful.Request, w *restful.Response) {
	metrics.WriteJSONOnce(s.config.Metrics, w)
}
