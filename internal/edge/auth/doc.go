// Package auth checks bearer tokens of organisations and operators and the rights that they give.
package auth
