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
	// paramEdit gives the ID of the edit, with which its state can be queried if the response is lost.
	paramEdit = "edit"
	// paramAuthor gives the name of the operator.
	paramAuthor = "author"
	// paramVersion gives the version that the row must have for the edit to be accepted.
	paramVersion = "version"
	// paramDry requests that the edit is only validated.
	paramDry = "dry"
	// paramUndo requests that a drain is undone.
	paramUndo = "undo"
	// paramLimit gives the maximum number of history entries.
	paramLimit = "limit"
)

// Default and maximum number of history entries in one response.
const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

// DiffResponse is the response body of a diff.
type DiffResponse struct {
	// Operations are the operations that change the tables in force into the given tables.
	Operations []table.Operation `json:"operations"`
}

// edit commits the edit in the body, or only validates it if the query sets paramDry.
func (s *Server) edit(r *restful.Request, w *restful.Response) {
	var change table.Edit
	if !readBody(r, w, &change) {
		return
	}
	s.submit(r, w, change)
}

// submitOne submits an edit of one operation, with the ID and the author in the query.
func (s *Server) submitOne(r *restful.Request, w *restful.Response, operation table.Operation) {
	s.submit(r, w, table.Edit{
		ID: r.QueryParameter(paramEdit), Author: r.QueryParameter(paramAuthor), Operations: []table.Operation{operation},
	})
}

// submit commits an edit, or only validates it if the query sets paramDry, and writes the result. An edit without an ID gets
// a random one.
func (s *Server) submit(r *restful.Request, w *restful.Response, change table.Edit) {
	if change.ID == "" {
		change.ID = rand.Text()
	}
	if dry, _ := strconv.ParseBool(r.QueryParameter(paramDry)); dry {
		writeResult(w, s.dryRun(change))
		return
	}
	writeResult(w, s.config.Sync.Edit(r.Request.Context(), change))
}

// dryRun returns the result that the edit would have on the tables in force at this instance.
func (s *Server) dryRun(change table.Edit) edit.Result {
	result := edit.Result{ID: change.ID, State: edit.Valid}
	_, err := table.Apply(s.config.Control.Snapshot().Tables, change)
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

// statusCodes maps the state of an edit to the status code of the response.
var statusCodes = map[edit.State]int{
	edit.Accepted:    http.StatusOK,
	edit.Valid:       http.StatusOK,
	edit.Conflict:    http.StatusConflict,
	edit.Refused:     http.StatusUnprocessableEntity,
	edit.NotAccepted: http.StatusServiceUnavailable,
	edit.Absent:      http.StatusNotFound,
	edit.Unknown:     http.StatusGatewayTimeout,
}

// writeResult writes the result of an edit.
func writeResult(w *restful.Response, result edit.Result) {
	_ = w.WriteHeaderAndJson(statusCodes[result.State], result, restful.MIME_JSON)
}

func (s *Server) editState(r *restful.Request, w *restful.Response) {
	writeResult(w, s.config.Sync.Lookup(r.Request.Context(), r.PathParameter("id")))
}

// withdraw prevents an edit from taking effect if it was not accepted yet. The state in the response is final unless it is unknown.
func (s *Server) withdraw(r *restful.Request, w *restful.Response) {
	id := r.PathParameter("id")
	if len(id) > table.MaxIDBytes || len(r.QueryParameter(paramAuthor)) > table.MaxAuthorBytes {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("the id may have %d bytes and the author %d", table.MaxIDBytes, table.MaxAuthorBytes))
		return
	}
	writeResult(w, s.config.Sync.Withdraw(r.Request.Context(), id, r.QueryParameter(paramAuthor)))
}

func (s *Server) diff(r *restful.Request, w *restful.Response) {
	var wanted table.Tables
	if !readBody(r, w, &wanted) {
		return
	}
	operations := table.Diff(s.config.Control.Snapshot().Tables, &wanted)
	_ = w.WriteAsJson(DiffResponse{Operations: operations})
}

func (s *Server) history(r *restful.Request, w *restful.Response) {
	limit := defaultHistoryLimit
	if text := r.QueryParameter(paramLimit); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 || parsed > maxHistoryLimit {
			writeError(w, http.StatusBadRequest, fmt.Sprintf("limit = %q: use 1 to %d", text, maxHistoryLimit))
			return
		}
		limit = parsed
	}
	entries, err := s.config.Sync.History(r.Request.Context(), limit)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, fmt.Sprintf("%v; try again when the platform's service answers", err))
		return
	}
	_ = w.WriteAsJson(entries)
}

// readBody decodes the request body. If it cannot be decoded, readBody writes the error response and returns false.
func readBody(r *restful.Request, w *restful.Response, into any) (ok bool) {
	if err := r.ReadEntity(into); err != nil {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("the body cannot be read: %v", err))
		return false
	}
	return true
}
