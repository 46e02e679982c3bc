package conf_test

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind/internal/admin/conf"
)

// Guards against a file that makes the parser panic, that is accepted although required settings are missing, or whose
// faults are not one printable line each. The seed corpus is in testdata/fuzz; scripts/fuzz runs a fixed number of generated
// inputs.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		router, err := conf.Parse("router.ini", text)
		if err == nil {
			quicktest.Assert(t, router.Name != "" && router.Zone != "", quicktest.IsTrue)
			quicktest.Assert(t, router.CallerListen.IsValid() && router.PeerListen.IsValid() && router.AdminListen.IsValid() &&
				router.CallerAdvertise.IsValid() && router.PeerAdvertise.IsValid() && router.PlatformAddress.IsValid(), quicktest.IsTrue)
			quicktest.Assert(t, router.CallerListen != router.PeerListen && router.CallerAdvertise != router.PeerAdvertise, quicktest.IsTrue)
			quicktest.Assert(t, router.Drain > 0 && router.Events > 0 && router.RequestBytes > 0, quicktest.IsTrue)
			return
		}
		quicktest.Assert(t, router, quicktest.Equals, conf.Router{})
		var faultsError *conf.FaultsError
		quicktest.Assert(t, errors.As(err, &faultsError), quicktest.IsTrue)
		quicktest.Assert(t, len(faultsError.Faults) > 0, quicktest.IsTrue)
		for _, fault := range faultsError.Faults {
			quicktest.Assert(t, strings.ContainsAny(fault.Error(), "\n\r\x1b"), quicktest.IsFalse, quicktest.Commentf("%q", fault.Error()))
		}
	})
}
