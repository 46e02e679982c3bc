package clementinewind

// Pool is the name of a set of upstreams that can serve the same requests.
type Pool string

// PoolKind selects the protocol that the upstreams of a pool speak.
type PoolKind int

//go:generate stringer -type PoolKind -trimprefix Pool -output poolkind_string.go

const (
	// PoolModel is a pool of model engine replicas that stream their answers.
	PoolModel PoolKind = iota
	// PoolService is a pool of plain service replicas.
	PoolService
)
