package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/clementinewind/clementinewind/internal/edge/spill"
	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
)

const (
	// helpers is the number of routers to which one that has too little processor time hands requests. In the users' large
	// deployments the callers of one organisation bring as much as six routers can serve.
	helpers = 8
	// handedShare is the part of the sockets that callers may hold whose requests were handed over. The others must not wait for them.
	handedShare = 0.3
	// takenShare is the part of the sockets that requests of other routers may use, each of which may need one to an upstream.
	takenShare = 0.25
	// handedOver is the outcome by which requests are counted that another router serves.
	handedOver = "HandedOver"
)

func (entry *Entry) newSender(dialer *net.Dialer) *spill.Sender {
	return spill.NewSender(spill.SenderConfig{
		Helpers: entry.helpers, Most: int(handedShare * float64(entry.settings.Load().Connections())),
		Alive: func(address string) bool { return entry.roster.Hears(address, time.Now()) },
		Dial:  dialer.DialContext, Version: entry.version,
		Declined: entry.relay.Refusal, Lost: entry.relay.Lost, Logger: entry.config.Logger,
	})
}

func (entry *Entry) helpers() []spill.Helper {
	var found []spill.Helper
	for _, member := range entry.roster.Helpers(helpers, time.Now()) {
		found = append(found, spill.Helper{Address: member.PeerAddress, Cores: max(member.Cores, roster.LeastCores)})
	}
	return found
}

// handOver has another router serve a request for which the processor is not enough.
func (entry *Entry) handOver(descriptor int, request []byte, done func()) bool {
	if !entry.lag.handsOver() || !entry.sender.Hand(descriptor, request, done) {
		return false
	}
	entry.load.count.Add(1)
	entry.config.Meter.Ended("", handedOver, 0)
	return true
}

func (entry *Entry) newReceiver() *spill.Receiver {
	settings := entry.settings.Load()
	return spill.NewReceiver(spill.ReceiverConfig{
		Address:     net.TCPAddrFromAddrPort(entry.peerAddress()),
		Connections: int(takenShare * float64(settings.Connections())),
		Version:     entry.version, Delay: entry.takenDelay, Logger: entry.config.Logger,
	})
}

// takenDelay is how long pieces of answers gather for the router that handed over the request. Each costs it a write.
func (entry *Entry) takenDelay() time.Duration {
	return time.Duration(busyGather * float64(entry.settings.Load().EventDelay))
}

// takingServer serves the requests of other routers. Their connections end with the answer.
func (entry *Entry) takingServer() *server {
	serving := entry.serving(entry.relay)
	return newServer(entry.receiver, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Connection", "close")
		serving.ServeHTTP(writer, request)
	}), entry.config.Logger)
}

// peerHandler serves other routers.
func (entry *Entry) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+spill.Path, entry.receiver)
	mux.Handle("/", gossip.FeedHandler(entry.readers.mirrors(), entry.config.Logger))
	return mux
}
