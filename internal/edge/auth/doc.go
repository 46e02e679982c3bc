// Package auth authenticates organisations and operators by bearer tokens and authorizes their requests.
package auth
