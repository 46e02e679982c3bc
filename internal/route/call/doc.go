// Package call is the client of plain services: unary calls over net/http that are never sent twice.
package call
