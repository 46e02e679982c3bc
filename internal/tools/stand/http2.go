package stand

import (
	"bytes"
	"io"
	"net"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// HTTP2Response is a response over HTTP/2 with its header and trailer fields as they stand on the wire.
type HTTP2Response struct {
	Header  []hpack.HeaderField
	Body    []byte
	Trailer []hpack.HeaderField
}

// BrokenHTTP2Responses returns responses whose status or fields HTTP/2 forbids, and that are otherwise like the given one, whose first
// field is its status.
func BrokenHTTP2Responses(sound HTTP2Response) map[string]HTTP2Response {
	responses := map[string]HTTP2Response{}
	add := func(name string, header ...hpack.HeaderField) {
		responses[name] = HTTP2Response{Header: header, Body: sound.Body, Trailer: sound.Trailer}
	}
	for _, status := range []string{"000", "099", "101", "600", "2e2", ""} {
		add("status "+status, append([]hpack.HeaderField{{Name: ":status", Value: status}}, sound.Header[1:]...)...)
	}
	add("no status", sound.Header[1:]...)
	for _, name := range []string{"bad name", "name ", " name", "na\x01me", "na\x00me", "Name", "", ":other"} {
		add("field "+name, append(append([]hpack.HeaderField{}, sound.Header...), hpack.HeaderField{Name: name, Value: "x"})...)
	}
	add("control byte in a value", append(append([]hpack.HeaderField{}, sound.Header...), hpack.HeaderField{Name: "name", Value: "x\x01y"})...)
	return responses
}

// ServeHTTP2 answers each request with the given response over HTTP/2 without TLS, until the listener is closed.
func ServeHTTP2(listener net.Listener, response HTTP2Response) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			serveHTTP2Conn(conn, response)
		}()
	}
}

// serveHTTP2Conn serves a connection until it fails. Responses follow the end of the header of their requests.
func serveHTTP2Conn(conn net.Conn, response HTTP2Response) {
	if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(conn, conn)
	err := framer.WriteSettings()
	for err == nil {
		var frame http2.Frame
		if frame, err = framer.ReadFrame(); err != nil {
			return
		}
		switch frame := frame.(type) {
		case *http2.SettingsFrame:
			if !frame.IsAck() {
				err = framer.WriteSettingsAck()
			}
		case *http2.HeadersFrame:
			err = writeHTTP2Response(framer, frame.StreamID, response)
		}
	}
}

func writeHTTP2Response(framer *http2.Framer, stream uint32, response HTTP2Response) error {
	var encoded bytes.Buffer
	encoder := hpack.NewEncoder(&encoded)
	encode := func(fields []hpack.HeaderField) []byte {
		encoded.Reset()
		for _, field := range fields {
			// A bytes.Buffer never fails. Names without an index keep the table of the connection empty.
			_ = encoder.WriteField(hpack.HeaderField{Name: field.Name, Value: field.Value, Sensitive: true})
		}
		return encoded.Bytes()
	}
	if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: encode(response.Header), EndHeaders: true}); err != nil {
		return err
	}
	ends := len(response.Trailer) == 0
	if err := framer.WriteData(stream, ends, response.Body); err != nil || ends {
		return err
	}
	return framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID: stream, BlockFragment: encode(response.Trailer), EndHeaders: true, EndStream: true,
	})
}
