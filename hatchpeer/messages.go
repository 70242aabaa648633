package hatchpeer

import (
	"time"

	"dragonflyhatch"
)

func encodeHeaders(headers []dragonflyhatch.Header) []*HeaderLine {
	lines := make([]*HeaderLine, len(headers))
	for i, header := range headers {
		lines[i] = &HeaderLine{Name: header.Name, Value: header.Value}
	}
	return lines
}

func decodeHeaders(lines []*HeaderLine) []dragonflyhatch.Header {
	headers := make([]dragonflyhatch.Header, len(lines))
	for i, line := range lines {
		headers[i] = dragonflyhatch.Header{Name: line.GetName(), Value: line.GetValue()}
	}
	return headers
}

func encodeOrder(request dragonflyhatch.ServiceRequest) *OrderRequest {
	return &OrderRequest{
		Organisation:      request.Organisation,
		Service:           request.Service,
		Method:            request.Method,
		Path:              request.Path,
		Headers:           encodeHeaders(request.Headers),
		Body:              request.Body,
		Key:               request.Key,
		DeadlineUnixNanos: request.Deadline.UnixNano(),
	}
}

func decodeOrder(message *OrderRequest) dragonflyhatch.ServiceRequest {
	return dragonflyhatch.ServiceRequest{
		Organisation: message.GetOrganisation(),
		Service:      message.GetService(),
		Method:       message.GetMethod(),
		Path:         message.GetPath(),
		Headers:      decodeHeaders(message.GetHeaders()),
		Body:         message.GetBody(),
		Key:          message.GetKey(),
		Deadline:     time.Unix(0, message.GetDeadlineUnixNanos()),
	}
}

// encodeReply encodes a failure in the message, because a twirp error stands for a
// call that did not reach the peer or got no response.
func encodeReply(reply dragonflyhatch.ServiceReply, err error) *OrderReply {
	if err != nil {
		failure := dragonflyhatch.FailureOf(err)
		return &OrderReply{FailureKind: failure.Kind.String(), FailureDetail: failure.Detail}
	}
	return &OrderReply{
		Status:          int32(reply.Status),
		Headers:         encodeHeaders(reply.Headers),
		Body:            reply.Body,
		RepeatedOutcome: reply.Repeated,
	}
}

func decodeReply(message *OrderReply) (dragonflyhatch.ServiceReply, error) {
	if name := message.GetFailureKind(); name != "" {
		// A kind that this version does not know becomes KindInternal, which
		// does not state whether the request ran.
		kind, _ := dragonflyhatch.KindByName(name)
		return dragonflyhatch.ServiceReply{}, dragonflyhatch.Failf(kind, "%s", message.GetFailureDetail())
	}
	return dragonflyhatch.ServiceReply{
		Status:   int(message.GetStatus()),
		Headers:  decodeHeaders(message.GetHeaders()),
		Body:     message.GetBody(),
		Repeated: message.GetRepeatedOutcome(),
	}, nil
}

func encodeHeartbeat(heartbeat dragonflyhatch.Heartbeat) *HeartbeatMessage {
	message := &HeartbeatMessage{
		Host:                 heartbeat.Host,
		Process:              heartbeat.Process,
		ConfigurationVersion: heartbeat.ConfigurationVersion,
		Leaving:              heartbeat.Leaving,
		Suspects:             heartbeat.Suspects,
	}
	for _, drain := range heartbeat.Drains {
		message.Drains = append(message.Drains, &DrainFact{
			Address: drain.Address, Source: int32(drain.Source), Version: drain.Version, Leaving: drain.Leaving,
		})
	}
	return message
}

func decodeHeartbeat(message *HeartbeatMessage) dragonflyhatch.Heartbeat {
	heartbeat := dragonflyhatch.Heartbeat{
		Host:                 message.GetHost(),
		Process:              message.GetProcess(),
		ConfigurationVersion: message.GetConfigurationVersion(),
		Leaving:              message.GetLeaving(),
		Suspects:             message.GetSuspects(),
	}
	for _, fact := range message.GetDrains() {
		heartbeat.Drains = append(heartbeat.Drains, dragonflyhatch.Drain{
			Address: fact.GetAddress(), Source: dragonflyhatch.DrainSource(fact.GetSource()),
			Version: fact.GetVersion(), Leaving: fact.GetLeaving(),
		})
	}
	return heartbeat
}

func encodeSource(source dragonflyhatch.SourceFile) *SourceFile {
	return &SourceFile{Name: source.Name, Site: source.Site, Text: source.Text}
}

func decodeSource(message *SourceFile) dragonflyhatch.SourceFile {
	return dragonflyhatch.SourceFile{Name: message.GetName(), Site: message.GetSite(), Text: message.GetText()}
}

func encodeConfiguration(accepted dragonflyhatch.AcceptedConfiguration) *ConfigurationReply {
	reply := &ConfigurationReply{Version: accepted.Version, Author: accepted.Author, Base: encodeSource(accepted.Base)}
	for _, overlay := range accepted.Overlays {
		reply.Overlays = append(reply.Overlays, encodeSource(overlay))
	}
	return reply
}

func decodeConfiguration(reply *ConfigurationReply) dragonflyhatch.AcceptedConfiguration {
	accepted := dragonflyhatch.AcceptedConfiguration{
		Version: reply.GetVersion(),
		Author:  reply.GetAuthor(),
		Base:    decodeSource(reply.GetBase()),
	}
	for _, overlay := range reply.GetOverlays() {
		accepted.Overlays = append(accepted.Overlays, decodeSource(overlay))
	}
	return accepted
}
