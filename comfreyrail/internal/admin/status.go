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

// Status is the answer to a request for the state of the fleet.
type Status struct {
	// Instance is the name of the instance that answers.
	Instance string `json:"instance"`
	// Generation is the generation in force at the instance that answers.
	Generation uint64 `json:"generation"`
	// Obstacle says why the instance that answers takes no requests, empty if it does.
	Obstacle string `json:"obstacle,omitempty"`
	// Members lists the instances with the generation in force at each, zero for one that does not answer.
	Members []member.Member `json:"members"`
}

// Dump is the state of the process; it holds no secrets.
type Dump struct {
	// Generation is the generation in force.
	Generation uint64 `json:"generation"`
	// Hash is the hash of the manifest of the generation in force.
	Hash string `json:"hash"`
	// Obstacle says why the configuration keeps the instance from taking requests, empty if it does not.
	Obstacle string `json:"obstacle,omitempty"`
	// Stopping tells that the instance stops as planned.
	Stopping bool `json:"stopping"`
	// Tables is the generation in force.
	Tables *table.Tables `json:"tables"`
	// Servers holds what is known about each backend server.
	Servers map[string]*chain.Server `json:"servers"`
	// Self is the record of this incarnation.
	Self member.Member `json:"self"`
	// Superseded tells that a later incarnation of this instance is known.
	Superseded bool `json:"superseded"`
	// Fleet holds what is known about every instance.
	Fleet []gossip.Update `json:"fleet"`
	// Metrics holds the metrics of the process.
	Metrics metrics.Registry `json:"metrics"`
	// Goroutines is the number of goroutines.
	Goroutines int `json:"goroutines"`
	// HeapBytes is the memory in use for objects.
	HeapBytes uint64 `json:"heapbytes"`
}

func (a *Server) ready(_ *restful.Request, w *restful.Response) {
	if reason := a.config.Control.Snapshot().UnreadyReason(); reason != "" {
		_ = w.WriteErrorString(http.StatusServiceUnavailable, reason+"\n")
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (a *Server) status(r *restful.Request, w *restful.Response) {
	snapshot := a.config.Control.Snapshot()
	status := Status{Instance: snapshot.Self.Name, Generation: snapshot.Tables.Generation, Obstacle: snapshot.Obstacle}
	if a.config.Members != nil {
		status.Members = a.config.Members(r.Request.Context())
	}
	_ = w.WriteAsJson(status)
}

func (a *Server) dump(_ *restful.Request, w *restful.Response) { _ = w.WriteAsJson(a.Dump()) }

// Dump returns the state of the process.
func (a *Server) Dump() Dump {
	snapshot, head := a.config.Control.Snapshot(), a.config.Sync.LocalOffer()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Dump{
		Generation: head.Generation, Hash: head.Hash, Obstacle: snapshot.Obstacle, Tables: snapshot.Tables, Servers: snapshot.Servers,
		Self: snapshot.Self, Superseded: snapshot.Superseded, Fleet: snapshot.Fleet, Metrics: a.config.Metrics,
		Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc, Stopping: snapshot.Stopping,
	}
}

func (a *Server) metrics(_ *restful.Request, w *restful.Response) {
	metrics.WriteJSONOnce(a.config.Metrics, w)
}
