package conf_test

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind/internal/admin/conf"
)

const minimalSettings = `
[Instance]
Name = router-a1
Zone = a
[Listen]
Caller = 10.0.0.1:7000
Peer = 10.0.0.1:7001
Admin = 127.0.0.1:7002
[Platform]
Address = 10.0.9.1:7100
`

// Guards against an example file that is rejected, and against keys that are stored in the wrong field.
func TestLoadExample(t *testing.T) {
	router, err := conf.Load("testdata/router.ini")
	quicktest.Assert(t, err, quicktest.IsNil)
	want := conf.Default().WithName("router-a1").WithZone("ZoneA").
		WithCaller(netip.MustParseAddrPort("10.0.1.1:7000")).
		WithPeer(netip.MustParseAddrPort("10.0.1.1:7001")).
		WithAdmin(netip.MustParseAddrPort("127.0.0.1:7002")).
		WithPlatformAddress(netip.MustParseAddrPort("10.0.9.1:7100")).
		WithLogLevel(hclog.Info).
		WithTLS(conf.TLS{
			CallerCertificate: "/etc/clementinewind/caller.pem",
			CallerKey:         "/etc/clementinewind/caller.key",
			PeerCertificate:   "/etc/clementinewind/peer.pem",
			PeerKey:           "/etc/clementinewind/peer.key",
			PeerAuthorities:   "/etc/clementinewind/authorities.pem",
		})
	want.CallerListen = netip.MustParseAddrPort("0.0.0.0:7000")
	quicktest.Assert(t, router, quicktest.Equals, want)
}

// Guards against faults that are not reported, that hide each other, or that name the wrong section or key. Each
// testdata/faults/*.ini file has its expected error text beside it.
func TestParseFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/faults/*.ini")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, len(files) > 0, quicktest.IsTrue)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".ini"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			quicktest.Assert(t, err, quicktest.IsNil)
			want, err := os.ReadFile(strings.TrimSuffix(file, ".ini") + ".txt")
			quicktest.Assert(t, err, quicktest.IsNil)
			_, err = conf.Parse("router.ini", text)
			quicktest.Assert(t, err, quicktest.IsNotNil)
			quicktest.Assert(t, err.Error()+"\n", quicktest.Equals, string(want))
			var faultsError *conf.FaultsError
			quicktest.Assert(t, errors.As(err, &faultsError), quicktest.IsTrue)
		})
	}
}

// Guards against a missing file that is reported as an invalid file.
func TestLoadMissing(t *testing.T) {
	_, err := conf.Load(filepath.Join(t.TempDir(), "none.ini"))
	quicktest.Assert(t, errors.Is(err, os.ErrNotExist), quicktest.IsTrue)
	var faultsError *conf.FaultsError
	quicktest.Assert(t, errors.As(err, &faultsError), quicktest.IsFalse)
}

func ExampleParse() {
	_, err := conf.Parse("router.ini", []byte(minimalSettings+"[Times]\nDrain = 10\nGrace = 5s\n"))
	fmt.Println(err)
	// Output:
	// router.ini: [Times] Grace: unknown key (UnknownKey)
	// router.ini: [Times] Drain: "10" has no unit; write for example 10s (WrongUnit)
}
