package admin

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/emicklei/go-restful/v3"

	"github.com/comfreyrail/comfreyrail/rail/table"
)

func (a *Server) tables(_ *restful.Request, w *restful.Response) {
	_ = w.WriteAsJson(a.config.Control.Snapshot().Tables)
}

func (a *Server) routes(_ *restful.Request, w *restful.Response) {
	_ = w.WriteAsJson(a.config.Control.Snapshot().Tables.Routes)
}

func (a *Server) pools(_ *restful.Request, w *restful.Response) {
	_ = w.WriteAsJson(a.config.Control.Snapshot().Tables.Pools)
}

// find returns the content of a row in force, or answers that there is none.
func (a *Server) find(w *restful.Response, row table.Row) (content table.Content, ok bool) {
	content = a.config.Control.Snapshot().Tables.Find(row)
	if content == (table.Content{}) {
		fail(w, http.StatusNotFound, fmt.Sprintf("%s does not exist; list the rows for their names", row))
		return content, false
	}
	return content, true
}

func (a *Server) route(r *restful.Request, w *restful.Response) {
	if content, ok := a.find(w, table.Row{Type: table.RouteRow, Name: r.PathParameter("name")}); ok {
		_ = w.WriteAsJson(content.Route)
	}
}

func (a *Server) pool(r *restful.Request, w *restful.Response) {
	if content, ok := a.find(w, table.Row{Type: table.PoolRow, Name: r.PathParameter("name")}); ok {
		_ = w.WriteAsJson(content.Pool)
	}
}

// putRoute writes a route over the version that the body gives.
func (a *Server) putRoute(r *restful.Request, w *restful.Response) {
	var route table.Route
	if !read(r, w, &route) || !named(w, r.PathParameter("name"), route.Name) {
		return
	}
	a.submitOne(r, w, table.PutRoute(route, route.Version))
}

// putPool writes a pool with its backend servers over the version that the body gives.
func (a *Server) putPool(r *restful.Request, w *restful.Response) {
	var pool table.Pool
	if !read(r, w, &pool) || !named(w, r.PathParameter("name"), pool.Name) {
		return
	}
	a.submitOne(r, w, table.PutPool(pool, pool.Version))
}

// named answers that the path and the body name different rows, if they do.
func named(w *restful.Response, path, body string) (ok bool) {
	if path != body {
		fail(w, http.StatusBadRequest, fmt.Sprintf("the path names %q and the body %q; use one name", path, body))
	}
	return path == body
}

func (a *Server) deleteRoute(r *restful.Request, w *restful.Response) {
	a.deleteRow(r, w, table.Row{Type: table.RouteRow, Name: r.PathParameter("name")})
}

func (a *Server) deletePool(r *restful.Request, w *restful.Response) {
	a.deleteRow(r, w, table.Row{Type: table.PoolRow, Name: r.PathParameter("name")})
}

// deleteRow deletes a row at the version that the query gives.
func (a *Server) deleteRow(r *restful.Request, w *restful.Response, row table.Row) {
	version, err := strconv.ParseUint(r.QueryParameter(paramVersion), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, fmt.Sprintf("%s = %q: give the version of the row that you read", paramVersion, r.QueryParameter(paramVersion)))
		return
	}
	a.submitOne(r, w, table.Operation{Action: table.Delete, Row: row, Version: version})
}

// drain marks a backend server as leaving, or takes the mark back.
func (a *Server) drain(r *restful.Request, w *restful.Response) {
	row := table.Row{Type: table.ServerRow, Pool: r.PathParameter("name"), Name: r.PathParameter("server")}
	content, ok := a.find(w, row)
	if !ok {
		return
	}
	if undo, _ := strconv.ParseBool(r.QueryParameter(paramUndo)); undo {
		server := *content.Server
		server.Leaving = false
		a.submitOne(r, w, table.PutServer(row.Pool, server, server.Version))
		return
	}
	a.submitOne(r, w, table.Operation{Action: table.Leave, Row: row, Version: content.Server.Version})
}
