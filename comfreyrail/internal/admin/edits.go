package admin

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/emicklei/go-restful/v3"

	"github.com/comfreyrail/comfreyrail/rail/edit"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Names of the query parameters.
const (
	// paramEdit names the edit, so that its state can be asked for when the answer is lost.
	paramEdit = "edit"
	// paramAuthor names the operator.
	paramAuthor = "author"
	// paramVersion is the version that the row must have.
	paramVersion = "version"
	// paramDry asks to check an edit without making it.
	paramDry = "dry"
	// paramUndo asks to take back a drain.
	paramUndo = "undo"
	// paramLimit is the greatest number of entries.
	paramLimit = "limit"
)

// Limits of the number of entries of the history in one answer.
const (
	defaultEntries = 20
	maxEntries     = 1000
)

// DiffResponse is the answer to a diff.
type DiffResponse struct {
	// Operations turn the tables in force into the given ones.
	Operations []table.Operation `json:"operations"`
}

// edit makes a whole edit, or checks it.
func (a *Server) edit(r *restful.Request, w *restful.Response) {
	var change table.Edit
	if !read(r, w, &change) {
		return
	}
	a.submit(r, w, change)
}

// submitOne makes an edit of one operation.
func (a *Server) submitOne(r *restful.Request, w *restful.Response, operation table.Operation) {
	a.submit(r, w, table.Edit{
		ID: r.QueryParameter(paramEdit), Author: r.QueryParameter(paramAuthor), Operations: []table.Operation{operation},
	})
}

// submit makes an edit, or checks it, and answers what became of it.
func (a *Server) submit(r *restful.Request, w *restful.Response, change table.Edit) {
	if change.ID == "" {
		change.ID = rand.Text()
	}
	if dry, _ := strconv.ParseBool(r.QueryParameter(paramDry)); dry {
		answer(w, a.check(change))
		return
	}
	answer(w, a.config.Sync.Edit(r.Request.Context(), change))
}

// check answers what would become of the edit over the tables in force here.
func (a *Server) check(change table.Edit) edit.Result {
	result := edit.Result{ID: change.ID, State: edit.Valid}
	_, err := table.Apply(a.config.Control.Snapshot().Tables, change)
	var conflict *table.ConflictError
	var refusal *table.ValidationError
	switch {
	case errors.As(err, &conflict):
		result.State, result.Rows = edit.Conflict, conflict.Rows
	case errors.As(err, &refusal):
		result.State, result.Problems = edit.Refused, refusal.Problems
	}
	return result
}

// statuses maps what became of an edit to the status code of the answer.
var statuses = map[edit.State]int{
	edit.Accepted:    http.StatusOK,
	edit.Valid:       http.StatusOK,
	edit.Conflict:    http.StatusConflict,
	edit.Refused:     http.StatusUnprocessableEntity,
	edit.NotAccepted: http.StatusServiceUnavailable,
	edit.Absent:      http.StatusNotFound,
	edit.Unknown:     http.StatusGatewayTimeout,
}

// answer writes what became of an edit.
func answer(w *restful.Response, result edit.Result) {
	_ = w.WriteHeaderAndJson(statuses[result.State], result, restful.MIME_JSON)
}

func (a *Server) lookup(r *restful.Request, w *restful.Response) {
	answer(w, a.config.Sync.Lookup(r.Request.Context(), r.PathParameter("id")))
}

// withdraw makes sure that an edit never takes effect; the state that it answers is final unless it is unknown.
func (a *Server) withdraw(r *restful.Request, w *restful.Response) {
	id := r.PathParameter("id")
	if len(id) > table.MaxIDBytes || len(r.QueryParameter(paramAuthor)) > table.MaxAuthorBytes {
		fail(w, http.StatusBadRequest, fmt.Sprintf("the id may have %d bytes and the author %d", table.MaxIDBytes, table.MaxAuthorBytes))
		return
	}
	answer(w, a.config.Sync.Withdraw(r.Request.Context(), id, r.QueryParameter(paramAuthor)))
}

func (a *Server) diff(r *restful.Request, w *restful.Response) {
	var wanted table.Tables
	if !read(r, w, &wanted) {
		return
	}
	operations := table.Diff(a.config.Control.Snapshot().Tables, &wanted)
	_ = w.WriteAsJson(DiffResponse{Operations: operations})
}

func (a *Server) history(r *restful.Request, w *restful.Response) {
	limit := defaultEntries
	if text := r.QueryParameter(paramLimit); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 || parsed > maxEntries {
			fail(w, http.StatusBadRequest, fmt.Sprintf("limit = %q: use 1 to %d", text, maxEntries))
			return
		}
		limit = parsed
	}
	entries, err := a.config.Sync.History(r.Request.Context(), limit)
	if err != nil {
		fail(w, http.StatusServiceUnavailable, fmt.Sprintf("%v; try again when the platform's service answers", err))
		return
	}
	_ = w.WriteAsJson(entries)
}

// read reads the body, or answers what is wrong with it.
func read(r *restful.Request, w *restful.Response, into any) (ok bool) {
	if err := r.ReadEntity(into); err != nil {
		fail(w, http.StatusBadRequest, fmt.Sprintf("the body cannot be read: %v", err))
		return false
	}
	return true
}
