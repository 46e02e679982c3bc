package stand

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultBookingTime = 5 * time.Millisecond
	maxBookingBytes    = 1 << 20
)

// BookingConfig is the configuration of a Booking.
type BookingConfig struct {
	// RunTime is how long a booking takes; 0 means 5 ms.
	RunTime time.Duration
}

// Booking is a booking service, which stands for all upstreams that are not model engines. It is an http.Handler that
// books on any path except those of its control endpoints.
type Booking struct {
	recorder
	Faults

	config BookingConfig
	mux    *http.ServeMux
}

// NewBooking returns a Booking.
func NewBooking(config BookingConfig) *Booking {
	setDefault(&config.RunTime, defaultBookingTime)
	booking := &Booking{config: config, mux: http.NewServeMux()}
	booking.mux.HandleFunc("/", booking.serve)
	booking.serveRecords(booking.mux)
	booking.mux.Handle("/faults", &booking.Faults)
	return booking
}

// ServeHTTP serves bookings and the control endpoints.
func (booking *Booking) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	booking.mux.ServeHTTP(writer, request)
}

// BookingAnswer returns the answer to a booking.
func BookingAnswer(path string, body []byte) []byte {
	return fmt.Appendf(nil, `{"Path":%q,"Booked":"%x"}`, path, xxhash.Sum64(body))
}

func (booking *Booking) serve(writer http.ResponseWriter, request *http.Request) {
	received := booking.recordRequest(request)
	faults := booking.takeFaults()
	switch {
	case faults.has(FaultResetEarly):
		reset(writer)
		return
	case faults.has(FaultRefuse):
		refuse(writer, http.StatusServiceUnavailable, "closed")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBookingBytes))
	if err != nil {
		refuse(writer, http.StatusBadRequest, err.Error())
		return
	}
	// The run completes even if the client disconnects, as in a service without transactions.
	time.Sleep(booking.config.RunTime + faults[FaultSlow].Delay)
	booking.addTotals(received.RequestID, 1, 0)
	booking.countBody(string(body))
	switch {
	case faults.has(FaultReset):
		reset(writer)
	case faults.has(FaultSilence):
		<-request.Context().Done()
	case faults.has(FaultUnsure):
		http.Error(writer, "internal failure", http.StatusServiceUnavailable)
	case faults.has(FaultShort):
		answer := BookingAnswer(request.URL.Path, body)
		writer.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		writer.Write(answer[:len(answer)/2])
		reset(writer)
	default:
		writer.Header().Set("Content-Type", "application/json")
		io.Copy(writer, bytes.NewReader(BookingAnswer(request.URL.Path, body)))
	}
}
