// Package keys serves TLS to callers and mutual TLS between routers and towards the platform, with certificates from
// files that are reloaded when they change.
package keys
