// Package demo runs a whole fleet with its stand-ins in one process.
package demo
