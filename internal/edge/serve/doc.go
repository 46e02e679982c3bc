// Package serve makes HTTP servers with limits on sizes, connections and time.
package serve
