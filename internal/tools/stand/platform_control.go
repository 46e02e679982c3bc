package stand

import (
	"encoding/json"
	"net/http"

	"github.com/clementinewind/clementinewind"
)

// Paths of the control endpoint of a Platform. All take POST with JSON and answer 204.
const (
	// PlatformFaultsPath takes PlatformFaults and replaces the faults.
	PlatformFaultsPath = "/control/faults"
	// PlatformInstancePath takes a PlatformInstance.
	PlatformInstancePath = "/control/instance"
	// PlatformWeightsPath takes a WeightsControl.
	PlatformWeightsPath = "/control/weights"
	// PlatformTruncatePath takes a TruncateControl.
	PlatformTruncatePath = "/control/truncate"

	maxControlBytes = 16 << 20
)

// WeightsControl replaces one entry of the weight store.
type WeightsControl struct {
	Name string
	Data []byte
}

// TruncateControl drops the records of a stream below Oldest.
type TruncateControl struct {
	Stream string
	Oldest int64
}

func (platform *Platform) handleControl(mux *http.ServeMux) {
	mux.Handle("POST "+PlatformFaultsPath, platformControl(platform.SetFaults))
	mux.Handle("POST "+PlatformInstancePath, platformControl(platform.SetInstance))
	mux.Handle("POST "+PlatformWeightsPath, platformControl(func(control WeightsControl) {
		platform.SetWeights(control.Name, control.Data)
	}))
	mux.Handle("POST "+PlatformTruncatePath, platformControl(func(control TruncateControl) {
		platform.log.Truncate(control.Stream, clementinewind.Offset(control.Oldest))
	}))
}

// platformControl returns a handler that passes its JSON body to apply. Unknown names are refused, because a fault that a
// misspelt test does not set would let the test pass.
func platformControl[T any](apply func(T)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxControlBytes))
		decoder.DisallowUnknownFields()
		var control T
		if err := decoder.Decode(&control); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		apply(control)
		writer.WriteHeader(http.StatusNoContent)
	})
}
