// Package link is an HTTP/1.1 client with a connection pool for one upstream. Unlike net/http it never retries a request, and
// its errors say whether the request may have reached the upstream.
package link
