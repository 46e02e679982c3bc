package tree

import (
	"slices"
	"strings"
	"sync"

	"github.com/google/btree"
)

const (
	separator = "."
	// afterSeparator is the character that follows the separator, so it ends the range of paths below a section.
	afterSeparator = "/"
	// degree is the fan-out of the B-tree; an edit copies one node a level.
	degree = 16
)

// Tree is an immutable settings tree. The zero value is an empty tree. It may be used by many goroutines.
type Tree struct {
	sections *sections
}

// sections is a B-tree with copy-on-write clones. The lock covers only Clone, which marks the nodes as shared.
type sections struct {
	mu     sync.Mutex
	sorted *btree.BTreeG[*section]
	// upstreams and weight compute once what every change of the assignment needs. At 29,000 organisations and 1,300
	// upstreams they take 176 ms and 6 ms without that.
	upstreams func() []Upstream
	weight    func() float64
}

// section is immutable once it is in a tree.
type section struct {
	path   string
	values []entry
}

type entry struct{ key, value string }

// Change sets or unsets a key of a section. Without a key it adds an empty section, or, with Unset, removes a section
// and everything below it.
type Change struct {
	Section string
	Key     string
	Value   string
	Unset   bool
}

func newSections(sorted *btree.BTreeG[*section]) *sections {
	sections := &sections{sorted: sorted}
	tree := Tree{sections: sections}
	sections.upstreams = sync.OnceValue(tree.readUpstreams)
	sections.weight = sync.OnceValue(tree.sumWeights)
	return sections
}

// clone returns a copy that may be changed.
func (tree Tree) clone() Tree {
	if tree.sections == nil {
		return Tree{sections: newSections(btree.NewG(degree, func(a, b *section) bool { return a.path < b.path }))}
	}
	tree.sections.mu.Lock()
	defer tree.sections.mu.Unlock()
	return Tree{sections: newSections(tree.sections.sorted.Clone())}
}

func (tree Tree) section(path string) (*section, bool) {
	if tree.sections == nil {
		return nil, false
	}
	return tree.sections.sorted.Get(&section{path: path})
}

// below calls visit for the sections below a path, in order of their paths, until visit returns false.
func (tree Tree) below(path string, visit func(*section) bool) {
	if tree.sections == nil {
		return
	}
	tree.sections.sorted.AscendRange(&section{path: path + separator}, &section{path: path + afterSeparator}, visit)
}

// Has reports whether a section exists. The top sections always exist.
func (tree Tree) Has(path string) bool {
	if _, ok := tree.section(path); ok {
		return true
	}
	return schema(path) != nil
}

// Len returns the number of sections.
func (tree Tree) Len() int {
	if tree.sections == nil {
		return 0
	}
	return tree.sections.sorted.Len()
}

// Own returns the value that a section itself sets.
func (tree Tree) Own(path, key string) (string, bool) {
	if found, ok := tree.section(path); ok {
		return found.value(key)
	}
	return "", false
}

// Effective returns the value of a key in a section, its own or inherited, and the section that sets it.
func (tree Tree) Effective(path, key string) (value, from string, ok bool) {
	for {
		if value, ok := tree.Own(path, key); ok {
			return value, path, true
		}
		parent, ok := parentOf(path)
		if !ok {
			return "", "", false
		}
		path = parent
	}
}

// KeysBelow returns the section and key of every value that a section and those below it set.
func (tree Tree) KeysBelow(path string) []Change {
	var changes []Change
	collect := func(section *section) bool {
		for _, entry := range section.values {
			changes = append(changes, Change{Section: section.path, Key: entry.key, Value: entry.value})
		}
		return true
	}
	if found, ok := tree.section(path); ok {
		collect(found)
	}
	tree.below(path, collect)
	return changes
}

// WithChanges returns a copy of the tree with the changes, applied in order. Its error is of type Faults.
func (tree Tree) WithChanges(changes []Change) (Tree, error) {
	changed := tree.clone()
	var faults Faults
	touched := map[string]bool{}
	for _, change := range changes {
		changed.apply(change, &faults)
		touched[topOf(change.Section)] = true
	}
	// Parents may follow their children among the changes, so they are looked up after all changes.
	checked := map[string]bool{}
	for _, change := range changes {
		if !checked[change.Section] {
			checked[change.Section] = true
			changed.checkParent(change.Section, &faults)
		}
	}
	changed.checkAcross(touched, &faults)
	if err := faults.err(); err != nil {
		return tree, err
	}
	changed.keep(tree, touched)
	return changed, nil
}

// keep takes over what the changes of the touched top sections cannot have changed.
func (tree Tree) keep(before Tree, touched map[string]bool) {
	if before.sections == nil {
		return
	}
	if !touched[PoolsSection] && !touched[ZonesSection] {
		tree.sections.upstreams = before.sections.upstreams
	}
	if !touched[OrganisationsSection] {
		tree.sections.weight = before.sections.weight
	}
}

func (tree Tree) apply(change Change, faults *Faults) {
	if !checkPath(change.Section, faults) {
		return
	}
	if change.Key == "" {
		tree.applyToSection(change, faults)
		return
	}
	known, ok := checkKey(change.Section, change.Key, faults)
	if !ok {
		return
	}
	found, exists := tree.section(change.Section)
	if change.Unset {
		if !exists {
			faults.add(change.Section, change.Key, "the section does not exist")
			return
		}
		tree.sections.sorted.ReplaceOrInsert(found.without(change.Key))
		return
	}
	value := strings.TrimSpace(change.Value)
	if err := known.check(value); err != nil {
		faults.add(change.Section, change.Key, "%v", err)
		return
	}
	if !exists {
		found = &section{path: change.Section}
	}
	tree.sections.sorted.ReplaceOrInsert(found.with(known.name, value))
}

func (tree Tree) applyToSection(change Change, faults *Faults) {
	if !change.Unset {
		if change.Value != "" {
			faults.add(change.Section, "", "a value needs a key")
			return
		}
		if _, ok := tree.section(change.Section); !ok {
			tree.sections.sorted.ReplaceOrInsert(&section{path: change.Section})
		}
		return
	}
	if _, ok := tree.section(change.Section); !ok {
		faults.add(change.Section, "", "the section does not exist")
		return
	}
	var removed []*section
	tree.below(change.Section, func(section *section) bool {
		removed = append(removed, section)
		return true
	})
	tree.sections.sorted.Delete(&section{path: change.Section})
	for _, section := range removed {
		tree.sections.sorted.Delete(section)
	}
}

// checkParent reports a section whose parent does not exist, so that a misspelt path makes no new branch.
func (tree Tree) checkParent(path string, faults *Faults) {
	_, exists := tree.section(path)
	if parent, ok := parentOf(path); ok && exists && !tree.Has(parent) {
		faults.add(path, "", "the parent section [%s] does not exist", parent)
	}
}

// checkAcross checks the rules that join several keys, where the changes touched them.
func (tree Tree) checkAcross(touched map[string]bool, faults *Faults) {
	if touched[PoolsSection] || touched[ZonesSection] {
		tree.checkPools(faults)
	}
	if touched[TokensSection] {
		tree.checkTokens(faults)
	}
}

// checkTokens also finds settings that would lock out all operators: as soon as there is a token, everyone needs one.
func (tree Tree) checkTokens(faults *Faults) {
	tokens := tree.Tokens()
	operators := 0
	for _, token := range tokens {
		path := TokensSection + separator + token.ID
		if _, ok := tree.Own(path, HashKey); !ok {
			faults.add(path, HashKey, "the key is missing")
		}
		if (token.Organisation == "") == (token.Operator == "") {
			faults.add(path, "", "a token needs either %s or %s", OrganisationKey, OperatorKey)
		}
		if token.Operator != "" {
			operators++
		}
	}
	if len(tokens) > 0 && operators == 0 {
		faults.add(TokensSection, "", "no token is that of an operator, so nobody could change the settings any more")
	}
}

func (tree Tree) checkPools(faults *Faults) {
	for _, pool := range tree.Pools() {
		if pool.ColdLimit > pool.MaxLimit {
			faults.add(poolPath(pool.Name), ColdLimitKey, "%d is above the %s of %d", pool.ColdLimit, MaxLimitKey, pool.MaxLimit)
		}
		for _, upstream := range tree.Upstreams(pool.Name) {
			path := upstreamPath(upstream.Name)
			if !upstream.Address.IsValid() {
				faults.add(path, AddressKey, "the key is missing")
			}
			switch {
			case upstream.Zone == "":
				faults.add(path, ZoneKey, "the key is missing")
			case !tree.Has(zonePath(upstream.Zone)):
				faults.add(path, ZoneKey, "the zone [%s] does not exist", zonePath(upstream.Zone))
			}
		}
	}
}

func checkPath(path string, faults *Faults) bool {
	before := len(*faults)
	top := topOf(path)
	if schema(top) == nil {
		faults.add(path, "", "the section is not below [%s], [%s], [%s] or [%s]", OrganisationsSection, ZonesSection, PoolsSection,
			TokensSection)
		return false
	}
	for name := range strings.SplitSeq(path, separator) {
		check := checkName
		if top == TokensSection && name != top {
			check = checkTokenID
		}
		if err := check(name); err != nil {
			faults.add(path, "", "%v", err)
		}
	}
	if depth, highest := depthOfPath(path), depthOf(top); depth > highest {
		faults.add(path, "", "the path has %d names; [%s] allows %d", depth, top, highest)
	}
	return len(*faults) == before
}

func checkKey(path, name string, faults *Faults) (key, bool) {
	keys := schema(topOf(path))
	index := slices.IndexFunc(keys, func(key key) bool { return key.name == name })
	if index < 0 {
		faults.add(path, name, "the key is not known")
		return key{}, false
	}
	if depth := depthOfPath(path); depth < keys[index].levels.lowest || depth > keys[index].levels.highest {
		faults.add(path, name, "the key cannot be set at this level of the tree")
		return key{}, false
	}
	return keys[index], true
}

func (found *section) value(key string) (string, bool) {
	for _, entry := range found.values {
		if entry.key == key {
			return entry.value, true
		}
	}
	return "", false
}

func (found *section) with(key, value string) *section {
	index, ok := slices.BinarySearchFunc(found.values, key, entry.compare)
	values := slices.Clone(found.values)
	if ok {
		values[index].value = value
	} else {
		values = slices.Insert(values, index, entry{key, value})
	}
	return &section{path: found.path, values: slices.Clip(values)}
}

func (found *section) without(key string) *section {
	return &section{path: found.path, values: slices.DeleteFunc(slices.Clone(found.values), func(entry entry) bool {
		return entry.key == key
	})}
}

func (entry entry) compare(key string) int { return strings.Compare(entry.key, key) }

func parentOf(path string) (string, bool) {
	index := strings.LastIndex(path, separator)
	if index < 0 {
		return "", false
	}
	return path[:index], true
}

// Within reports whether a path is a section or below it.
func Within(path, section string) bool {
	rest, ok := strings.CutPrefix(path, section)
	return ok && (rest == "" || strings.HasPrefix(rest, separator))
}

func topOf(path string) string {
	top, _, _ := strings.Cut(path, separator)
	return top
}

func depthOfPath(path string) int { return strings.Count(path, separator) + 1 }

// Parent returns the section above a path, or an empty string for a top section.
func Parent(path string) string {
	parent, _ := parentOf(path)
	return parent
}
