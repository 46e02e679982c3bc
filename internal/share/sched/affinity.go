package sched

const affinitySize = 4096

// affinity remembers where prefixes were sent, in two generations, so that it stays bounded without a list.
type affinity struct {
	young map[uint64]*upstream
	old   map[uint64]*upstream
}

func (affinity *affinity) get(prefix uint64) *upstream {
	if prefix == 0 {
		return nil
	}
	if upstream := affinity.young[prefix]; upstream != nil {
		return upstream
	}
	return affinity.old[prefix]
}

func (affinity *affinity) put(prefix uint64, target *upstream) {
	if prefix == 0 {
		return
	}
	if affinity.young == nil || len(affinity.young) >= affinitySize {
		affinity.old = affinity.young
		affinity.young = make(map[uint64]*upstream)
	}
	affinity.young[prefix] = target
}
