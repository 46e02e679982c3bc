// Package call is the client of plain services, that is of upstreams that are not model engines. It makes unary HTTP
// calls and never sends one twice.
package call
