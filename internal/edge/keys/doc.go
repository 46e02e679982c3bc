// Package keys serves TLS to callers, and mutual TLS between routers and to the platform. It loads certificates from
// files and reloads them when they change.
package keys
