package stand

import (
	"encoding/json"
	"net/http"

	"github.com/clementinewind/clementinewind"
)

// Paths of the control endpoints of a Platform. All take POST with JSON and answer 204.
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
	mux.Handle("POST "+PlatformFaultsPath, controlHandler(platform.SetFaults))
	mux.Handle("POST "+PlatformInstancePath, controlHandler(platform.SetInstance))
	mux.Handle("POST "+PlatformWeightsPath, controlHandler(func(control WeightsControl) {
		platform.SetWeights(control.Name, control.Data)
	}))
	mux.Handle("POST "+PlatformTruncatePath, controlHandler(func(control TruncateControl) {
		platform.log.Truncate(control.Stream, clementinewind.Offset(control.Oldest))
	}))
}

// controlHandler returns a handler that decodes its JSON body and passes it to apply. It rejects unknown fields,
// because a test with a misspelt fault would run without the fault and pass.
func controlHandler[T any](apply func(T)) http.Handler {
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
