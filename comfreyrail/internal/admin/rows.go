package admin

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/emicklei/go-restful/v3"

	"github.com/comfreyrail/comfreyrail/rail/table"
)

func (s *Server) tables(_ *restful.Request, w *restful.Response) {
	_ = w.WriteAsJson(s.config.Control.Snapshot().Tables)
}

func (s *Server) routes(_ *restful.Request, w *restful.Response) {
	_ = w.WriteAsJson(s.config.Control.Snapshot().Tables.Routes)
}

func (s *Server) pools(_ *restful.Request, w *restful.Response) {
	_ = w.WriteAsJson(s.config.Control.Snapshot().Tables.Pools)
}

// findRow returns the content of a row in force. If there is no such row, it writes the error response and returns false.
func (s *Server) findRow(w *restful.Response, row table.RowKey) (content table.Content, ok bool) {
	content = s.config.Control.Snapshot().Tables.Find(row)
	if content == (table.Content{}) {
		writeError(w, http.StatusNotFound, fmt.Sprintf("%s does not exist; list the rows for their names", row))
		return content, false
	}
	return content, true
}

func (s *Server) route(r *restful.Request, w *restful.Response) {
	if content, ok := s.findRow(w, table.RowKey{Type: table.RouteRow, Name: r.PathParameter("name")}); ok {
		_ = w.WriteAsJson(content.Route)
	}
}

func (s *Server) pool(r *restful.Request, w *restful.Response) {
	if content, ok := s.findRow(w, table.RowKey{Type: table.PoolRow, Name: r.PathParameter("name")}); ok {
		_ = w.WriteAsJson(content.Pool)
	}
}

// putRoute creates the route in the body, or replaces the existing one if that has the version in the body.
func (s *Server) putRoute(r *restful.Request, w *restful.Response) {
	var route table.Route
	if !readBody(r, w, &route) || !checkName(w, r.PathParameter("name"), route.Name) {
		return
	}
	s.submitOne(r, w, table.PutRoute(route, route.Version))
}

// putPool creates the pool in the body with its backend servers, or replaces the existing one if that has the version in the
// body.
func (s *Server) putPool(r *restful.Request, w *restful.Response) {
	var pool table.Pool
	if !readBody(r, w, &pool) || !checkName(w, r.PathParameter("name"), pool.Name) {
		return
	}
	s.submitOne(r, w, table.PutPool(pool, pool.Version))
}

// checkName reports whether the path and the body name the same row. If they do not, it writes the error response.
func checkName(w *restful.Response, path, body string) (ok bool) {
	if path != body {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("the path names %q and the body %q; use one name", path, body))
	}
	return path == body
}

func (s *Server) deleteRoute(r *restful.Request, w *restful.Response) {
	s.deleteRow(r, w, table.RowKey{Type: table.RouteRow, Name: r.PathParameter("name")})
}

func (s *Server) deletePool(r *restful.Request, w *restful.Response) {
	s.deleteRow(r, w, table.RowKey{Type: table.PoolRow, Name: r.PathParameter("name")})
}

// deleteRow deletes a row if it has the version in the query.
func (s *Server) deleteRow(r *restful.Request, w *restful.Response, row table.RowKey) {
	version, err := strconv.ParseUint(r.QueryParameter(paramVersion), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("%s = %q: give the version of the row that you read", paramVersion, r.QueryParameter(paramVersion)))
		return
	}
	s.submitOne(r, w, table.Operation{Action: table.Delete, Row: row, Version: version})
}

// drain sets Leaving of a backend server in the tables, or clears it if the query sets paramUndo.
func (s *Server) drain(r *restful.Request, w *restful.Response) {
	row := table.RowKey{Type: table.ServerRow, Pool: r.PathParameter("name"), Name: r.PathParameter("server")}
	content, ok := s.findRow(w, row)
	if !ok {
		return
	}
	if undo, _ := strconv.ParseBool(r.QueryParameter(paramUndo)); undo {
		server := *content.Server
		server.Leaving = false
		s.submitOne(r, w, table.PutServer(row.Pool, server, server.Version))
		return
	}
	s.submitOne(r, w, table.Operation{Action: table.Leave, Row: row, Version: content.Server.Version})
}
