package controlplane

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/fleetconfig"
)

// retryAfterSeconds is sent with every 503.
const retryAfterSeconds = "1"

// unknownErrorKind is sent for an error without a kind, which is a defect of this program.
const unknownErrorKind = "keeper/unknown"

// ErrorResponse is the body of every response whose status is not 200.
type ErrorResponse struct {
	Kind       string `json:"kind"` // the name of an apperror.Kind
	Place      string `json:"place,omitempty"`
	Cause      string `json:"cause,omitempty"`
	Resolution string `json:"remedy"`
	Leader     uint64 `json:"leader,omitempty"` // the leader that this replica knows; sent with consensus.NotLeading
}

// statusCodes maps the kinds of errors to HTTP status codes. A kind that is not listed is sent as 422: the caller must correct
// the request.
var statusCodes = map[*apperror.Kind]int{
	consensus.NotLeading:    http.StatusServiceUnavailable,
	consensus.Uncertain:     http.StatusServiceUnavailable,
	consensus.Busy:          http.StatusServiceUnavailable,
	consensus.Broken:        http.StatusServiceUnavailable,
	Overloaded:              http.StatusServiceUnavailable,
	Stopping:                http.StatusServiceUnavailable,
	LeaderUnreachable:       http.StatusServiceUnavailable,
	EndpointListUnavailable: http.StatusServiceUnavailable,

	TimedOut: http.StatusGatewayTimeout,

	BadRequest: http.StatusBadRequest,

	fleetconfig.UnknownVersion: http.StatusNotFound,
	catalog.UnknownMesh:        http.StatusNotFound,
	catalog.UnknownService:     http.StatusNotFound,

	consensus.UnknownNode:       http.StatusConflict,
	DigestMismatch:              http.StatusConflict,
	Withdrawn:                   http.StatusConflict,
	fleetconfig.StaleBase:       http.StatusConflict,
	fleetconfig.AlreadyProposed: http.StatusConflict,
	fleetconfig.NotProposed:     http.StatusConflict,
	federation.StaleTerms:       http.StatusConflict,
	catalog.OutdatedPublication: http.StatusConflict,
	catalog.Contradiction:       http.StatusConflict,

	consensus.TooLarge:   http.StatusRequestEntityTooLarge,
	fleetconfig.TooLarge: http.StatusRequestEntityTooLarge,
	federation.TooLarge:  http.StatusRequestEntityTooLarge,
}

// writeError sends an error response. The response names the leader unless leader is 0.
func writeError(w http.ResponseWriter, err error, leader uint64) {
	var typed *apperror.Error
	if !errors.As(err, &typed) {
		writeJSON(w, http.StatusInternalServerError, ErrorResponse{
			Kind:       unknownErrorKind,
			Cause:      err.Error(),
			Resolution: "report it as a bug, with the replica's log",
			Leader:     leader,
		})
		return
	}
	sent := ErrorResponse{
		Kind:       typed.Kind.Name,
		Place:      typed.Place,
		Cause:      typed.Cause,
		Resolution: typed.Resolution(),
		Leader:     leader,
	}
	if typed.Err != nil {
		if sent.Cause != "" {
			sent.Cause += ": "
		}
		sent.Cause += typed.Err.Error()
	}
	status, listed := statusCodes[typed.Kind]
	if !listed {
		status = http.StatusUnprocessableEntity
	}
	writeJSON(w, status, sent)
}

// response is an HTTP response: a status code and a JSON body.
type response struct {
	status int
	body   []byte
}

// newResponse encodes a value as one line of JSON.
func newResponse(status int, value any) response {
	text, err := json.Marshal(value)
	if err != nil { // a defect: every type that is sent can be encoded
		status = http.StatusInternalServerError
		text = []byte(`{"kind":"` + unknownErrorKind + `"}`)
	}
	return response{status: status, body: append(text, '\n')}
}

// write sends the response with its Content-Length, so that simple clients need not decode chunks.
func (r response) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	if r.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body) // a caller that has disconnected needs no response
}

// writeJSON sends a value as one line of JSON.
func writeJSON(w http.ResponseWriter, status int, value any) { newResponse(status, value).write(w) }
