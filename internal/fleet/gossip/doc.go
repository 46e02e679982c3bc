// Package gossip exchanges heartbeats between routers over UDP. A heartbeat says that a router is alive, what load it has at
// each upstream and how far it has read the platform's store. In a large fleet one router of each zone, the zone head, collects
// the heartbeats of its zone and sends their totals on as digests. Routers also read the store's topics from each other, over HTTP.
package gossip
