// Package serve creates HTTP servers with limits on sizes, connections and time.
package serve
