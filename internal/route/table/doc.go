// Package table defines the router's configuration (routes, services, API keys, limits) and the lookups in it.
package table
