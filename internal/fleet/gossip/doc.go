// Package gossip carries the beats of the routers: datagrams that tell the others that a router is alive, what work it has
// at each upstream and how far it has read the platform's store. Routers also read the store's topics from each other.
package gossip
