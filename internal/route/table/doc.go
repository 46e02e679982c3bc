// Package table holds the configuration in force: routes, services and the keys of organisations.
package table
