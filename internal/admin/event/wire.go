package event

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

// UnknownKind is the kind of an event that a newer version of the router recorded and this version does not know. The detail
// then starts with the name of the kind.
const UnknownKind clementinewind.EventKind = -1

// kindsByName maps the names of all known kinds to the kinds, of which EventSnapshotWritten is the last.
var kindsByName = func() map[string]clementinewind.EventKind {
	byName := map[string]clementinewind.EventKind{}
	for kind := clementinewind.EventStarted; kind <= clementinewind.EventSnapshotWritten; kind++ {
		byName[kind.String()] = kind
	}
	return byName
}()

// ToProto converts an event to its protobuf message.
func ToProto(event clementinewind.Event) *operatorv1.TimelineEvent {
	return &operatorv1.TimelineEvent{
		Stamp:        event.Stamp,
		TimeMillis:   event.Time.UnixMilli(),
		Instance:     string(event.Instance),
		Zone:         string(event.Zone),
		Kind:         event.Kind.String(),
		Organisation: string(event.Organisation),
		Upstream:     string(event.Upstream),
		RequestId:    event.RequestID,
		Detail:       event.Detail,
	}
}

// FromProto converts a protobuf message to an event. A kind that this version does not know becomes UnknownKind.
func FromProto(message *operatorv1.TimelineEvent) clementinewind.Event {
	kind, ok := kindsByName[message.GetKind()]
	detail := message.GetDetail()
	if !ok {
		kind = UnknownKind
		detail = message.GetKind() + ": " + detail
	}
	return clementinewind.Event{
		Stamp:        message.GetStamp(),
		Time:         time.UnixMilli(message.GetTimeMillis()).UTC(),
		Instance:     clementinewind.Instance(message.GetInstance()),
		Zone:         clementinewind.Zone(message.GetZone()),
		Kind:         kind,
		Organisation: clementinewind.Organisation(message.GetOrganisation()),
		Upstream:     clementinewind.Upstream(message.GetUpstream()),
		RequestID:    message.GetRequestId(),
		Detail:       detail,
	}
}

// ListToProto converts events to protobuf messages.
func ListToProto(events []clementinewind.Event) []*operatorv1.TimelineEvent {
	messages := make([]*operatorv1.TimelineEvent, len(events))
	for i, event := range events {
		messages[i] = ToProto(event)
	}
	return messages
}

// ListFromProto converts protobuf messages to events.
func ListFromProto(messages []*operatorv1.TimelineEvent) []clementinewind.Event {
	events := make([]clementinewind.Event, len(messages))
	for i, message := range messages {
		events[i] = FromProto(message)
	}
	return events
}

// EncodeDisclosure encodes an event as the payload of a record in the events stream.
func EncodeDisclosure(event clementinewind.Event) ([]byte, error) {
	payload, err := proto.Marshal(&recordv1.DisclosureRecord{Event: ToProto(event)})
	return payload, errors.Wrap(err, "encode disclosure record")
}

// DecodeDisclosure decodes the payload of a record in the events stream.
func DecodeDisclosure(payload []byte) (clementinewind.Event, error) {
	var record recordv1.DisclosureRecord
	if err := proto.Unmarshal(payload, &record); err != nil {
		return clementinewind.Event{}, errors.Wrap(err, "decode disclosure record")
	}
	return FromProto(record.GetEvent()), nil
}
