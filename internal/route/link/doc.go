// Package link keeps HTTP/1.1 connections to one upstream and sends single requests over them. It never repeats a
// request, and it tells whether a failed one may have reached the upstream.
package link
