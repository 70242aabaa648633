package hatchentry

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"

	"dragonflyhatch"
)

// operatorHandler implements the HTTP interface for operators.
type operatorHandler struct {
	control Control
	maxBody int
}

func (operatorHandler *operatorHandler) health(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(writer, struct {
		Alive bool `json:"alive"`
	}{true})
}

func (operatorHandler *operatorHandler) ready(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := operatorHandler.control.Ready(); err != nil {
		refuse(writer, err)
		return
	}
	writeJSON(writer, struct {
		Ready bool `json:"ready"`
	}{true})
}

func (operatorHandler *operatorHandler) metrics(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writer.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(operatorHandler.control.Metrics(), writer)
}

// query returns a handler that authenticates an operator and writes the result
// of a query.
func (operatorHandler *operatorHandler) query(execute func(request *http.Request, params httprouter.Params) (any, error)) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		_, err := operatorHandler.identify(request)
		if err != nil {
			refuse(writer, err)
			return
		}
		value, err := execute(request, params)
		if err != nil {
			refuse(writer, err)
			return
		}
		writeJSON(writer, value)
	}
}

// command returns a handler that authenticates an operator, reads the body, and
// writes the result of a command. It passes the operator's name to execute.
func (operatorHandler *operatorHandler) command(execute func(request *http.Request, operator string, body []byte) (any, error)) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
		operator, err := operatorHandler.identify(request)
		if err != nil {
			refuse(writer, err)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, int64(operatorHandler.maxBody)))
		if err != nil {
			refuse(writer, dragonflyhatch.Failf(dragonflyhatch.KindRequestTooLarge, "%v", err))
			return
		}
		value, err := execute(request, operator, body)
		if err != nil {
			refuse(writer, err)
			return
		}
		writeJSON(writer, value)
	}
}

func (operatorHandler *operatorHandler) identify(request *http.Request) (string, error) {
	token, err := bearerToken(request)
	if err != nil {
		return "", err
	}
	return operatorHandler.control.AuthenticateOperator(token)
}

func (operatorHandler *operatorHandler) status(*http.Request, httprouter.Params) (any, error) {
	return operatorHandler.control.Status(), nil
}

func (operatorHandler *operatorHandler) configuration(*http.Request, httprouter.Params) (any, error) {
	return operatorHandler.control.AcceptedConfiguration(), nil
}

func (operatorHandler *operatorHandler) explain(request *http.Request, params httprouter.Params) (any, error) {
	record, err := operatorHandler.control.Explain(request.Context(), params.ByName("request"))
	return json.RawMessage(record), err
}

func (operatorHandler *operatorHandler) audit(request *http.Request, _ httprouter.Params) (any, error) {
	return operatorHandler.control.AuditEntries(request.Context(), request.URL.Query().Get("what"))
}

func (operatorHandler *operatorHandler) apply(request *http.Request, operator string, body []byte) (any, error) {
	var proposal Proposal
	if err := json.Unmarshal(body, &proposal); err != nil {
		return nil, dragonflyhatch.Failf(dragonflyhatch.KindBadRequest, "the body is not a proposal: %v", err)
	}
	version, err := operatorHandler.control.ApplyConfiguration(request.Context(), operator, proposal)
	return ProposalReply{version}, err
}

func (operatorHandler *operatorHandler) drain(request *http.Request, operator string, body []byte) (any, error) {
	var change DrainChange
	if err := json.Unmarshal(body, &change); err != nil || change.Address == "" {
		return nil, dragonflyhatch.Failf(dragonflyhatch.KindBadRequest, "the body is not a drain change: %v", err)
	}
	return change, operatorHandler.control.SetDrain(request.Context(), operator, change)
}
