package event

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

// UnknownKind is the kind of an event that a newer version of the router recorded. The name of the kind is at the start
// of the detail.
const UnknownKind clementinewind.EventKind = -1

// kinds maps the names of all kinds. The last kind is the highest one that the time line knows.
var kinds = func() map[string]clementinewind.EventKind {
	names := map[string]clementinewind.EventKind{}
	for kind := clementinewind.EventStarted; kind <= clementinewind.EventSnapshotWritten; kind++ {
		names[kind.String()] = kind
	}
	return names
}()

// ToProto returns the message for an event.
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

// FromProto returns the event of a message. A kind that this version does not know becomes UnknownKind.
func FromProto(message *operatorv1.TimelineEvent) clementinewind.Event {
	kind, ok := kinds[message.GetKind()]
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

// ListToProto returns the messages for a list of events.
func ListToProto(events []clementinewind.Event) []*operatorv1.TimelineEvent {
	messages := make([]*operatorv1.TimelineEvent, len(events))
	for i, event := range events {
		messages[i] = ToProto(event)
	}
	return messages
}

// ListFromProto returns the events of a list of messages.
func ListFromProto(messages []*operatorv1.TimelineEvent) []clementinewind.Event {
	events := make([]clementinewind.Event, len(messages))
	for i, message := range messages {
		events[i] = FromProto(message)
	}
	return events
}

// EncodeDisclosure returns the payload of a record of the events stream.
func EncodeDisclosure(event clementinewind.Event) ([]byte, error) {
	payload, err := proto.Marshal(&recordv1.DisclosureRecord{Event: ToProto(event)})
	return payload, errors.Wrap(err, "encode disclosure record")
}

// DecodeDisclosure returns the event of a payload of the events stream.
func DecodeDisclosure(payload []byte) (clementinewind.Event, error) {
	var record recordv1.DisclosureRecord
	if err := proto.Unmarshal(payload, &record); err != nil {
		return clementinewind.Event{}, errors.Wrap(err, "decode disclosure record")
	}
	return FromProto(record.GetEvent()), nil
}
