package router

import (
	"github.com/clementinewind/clementinewind/internal/edge/auth"
	"github.com/clementinewind/clementinewind/internal/store/state"
)

// tokens looks up bearer tokens in the settings tree.
type tokens struct {
	replica *state.Replica
}

// Access tells whether tokens are needed.
func (tokens tokens) Access() auth.Access {
	switch view := tokens.replica.View(); {
	case view.Version == 0:
		return auth.AccessPending
	case view.Tree.HasTokens():
		return auth.AccessTokens
	default:
		return auth.AccessOpen
	}
}

// Lookup returns the entry of a token id.
func (tokens tokens) Lookup(id string) (auth.TokenEntry, bool) {
	token, ok := tokens.replica.View().Tree.Token(id)
	return auth.TokenEntry{Hash: token.Hash, Organisation: token.Organisation, Operator: token.Operator}, ok
}
