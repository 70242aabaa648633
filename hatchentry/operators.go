package hatchentry

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"

	"dragonflyhatch"
)

// operators serves the operators' interface.
type operators struct {
	control Control
	maxBody int
}

func (operators *operators) health(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(writer, struct {
		Alive bool `json:"alive"`
	}{true})
}

func (operators *operators) ready(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := operators.control.Ready(); err != nil {
		refuse(writer, err)
		return
	}
	writeJSON(writer, struct {
		Ready bool `json:"ready"`
	}{true})
}

func (operators *operators) metrics(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writer.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(operators.control.Metrics(), writer)
}

// query serves an operator's question.
func (operators *operators) query(answer func(request *http.Request, params httprouter.Params) (any, error)) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		_, err := operators.identify(request)
		if err != nil {
			refuse(writer, err)
			return
		}
		value, err := answer(request, params)
		if err != nil {
			refuse(writer, err)
			return
		}
		writeJSON(writer, value)
	}
}

// command serves an operator's order; who is the operator's name.
func (operators *operators) command(obey func(request *http.Request, who string, body []byte) (any, error)) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
		who, err := operators.identify(request)
		if err != nil {
			refuse(writer, err)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, int64(operators.maxBody)))
		if err != nil {
			refuse(writer, dragonflyhatch.Fail(dragonflyhatch.KindRequestTooLarge, "%v", err))
			return
		}
		value, err := obey(request, who, body)
		if err != nil {
			refuse(writer, err)
			return
		}
		writeJSON(writer, value)
	}
}

func (operators *operators) identify(request *http.Request) (string, error) {
	token, err := bearer(request)
	if err != nil {
		return "", err
	}
	return operators.control.Operator(token)
}

func (operators *operators) status(*http.Request, httprouter.Params) (any, error) {
	return operators.control.Status(), nil
}

func (operators *operators) configuration(*http.Request, httprouter.Params) (any, error) {
	return operators.control.AcceptedConfiguration(), nil
}

func (operators *operators) explain(request *http.Request, params httprouter.Params) (any, error) {
	record, err := operators.control.Explain(request.Context(), params.ByName("request"))
	return json.RawMessage(record), err
}

func (operators *operators) audit(request *http.Request, _ httprouter.Params) (any, error) {
	return operators.control.Audit(request.Context(), request.URL.Query().Get("what"))
}

func (operators *operators) apply(request *http.Request, who string, body []byte) (any, error) {
	var proposal Proposal
	if err := json.Unmarshal(body, &proposal); err != nil {
		return nil, dragonflyhatch.Fail(dragonflyhatch.KindBadRequest, "the body is not a proposal: %v", err)
	}
	version, err := operators.control.Apply(request.Context(), who, proposal)
	return Accepted{version}, err
}

func (operators *operators) drain(request *http.Request, who string, body []byte) (any, error) {
	var order DrainOrder
	if err := json.Unmarshal(body, &order); err != nil || order.Address == "" {
		return nil, dragonflyhatch.Fail(dragonflyhatch.KindBadRequest, "the body is not a drain order: %v", err)
	}
	return order, operators.control.Drain(request.Context(), who, order)
}
