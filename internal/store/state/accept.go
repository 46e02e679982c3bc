package state

import (
	"fmt"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/tree"
)

// againstWindow is the number of control records for which the versions of keys are kept. An edit against an older
// version is rejected, which bounds the versions to keep; at 1,900 edits a day the window spans five days.
const againstWindow = 10_000

// versions holds the offset of the edit that last changed a key, by section and key. The empty key stands for adding or
// removing the section itself.
type versions map[string][]keyVersion

type keyVersion struct {
	key    string
	offset clementinewind.Offset
}

func (versions versions) get(section, key string) clementinewind.Offset {
	for _, version := range versions[section] {
		if version.key == key {
			return version.offset
		}
	}
	return -1
}

func (versions versions) set(section, key string, offset clementinewind.Offset) {
	keys := versions[section]
	for i := range keys {
		if keys[i].key == key {
			keys[i].offset = offset
			return
		}
	}
	versions[section] = append(keys, keyVersion{key, offset})
}

// prune drops the versions that no acceptable edit can be compared with.
func (versions versions) prune(next clementinewind.Offset) {
	for section, keys := range versions {
		kept := keys[:0]
		for _, version := range keys {
			if version.offset >= next-againstWindow {
				kept = append(kept, version)
			}
		}
		if len(kept) == 0 {
			delete(versions, section)
		} else {
			versions[section] = kept
		}
	}
}

// record notes that an accepted edit changed what change names.
func (versions versions) record(change tree.Change, offset clementinewind.Offset) {
	if change.Key == "" && change.Unset {
		// The version of the section itself stands for everything below it.
		for section := range versions {
			if tree.Within(section, change.Section) {
				delete(versions, section)
			}
		}
	}
	versions.set(change.Section, change.Key, offset)
}

// newest returns the offset of the newest edit that changed what change names, or -1.
func (versions versions) newest(change tree.Change) clementinewind.Offset {
	newest := versions.get(change.Section, change.Key)
	for section := change.Section; section != ""; section = tree.Parent(section) {
		newest = max(newest, versions.get(section, ""))
	}
	if change.Key == "" && change.Unset {
		for section, keys := range versions {
			if !tree.Within(section, change.Section) {
				continue
			}
			for _, version := range keys {
				newest = max(newest, version.offset)
			}
		}
	}
	return newest
}

// judge decides an edit. It depends only on its arguments, which are equal on all replicas at the same offset. Against
// is a version, that is the first offset that its author had not seen, so an edit at Against itself is a conflict.
func judge(view View, versions versions, edit Edit, against clementinewind.Offset) (tree.Tree, string) {
	offset := view.Version
	switch {
	case len(edit.Changes) == 0:
		return view.Tree, "the edit has no changes"
	case against < 0 || against > offset:
		return view.Tree, fmt.Sprintf("version %d does not exist before the edit at version %d", against, offset+1)
	case against < offset-againstWindow:
		return view.Tree, fmt.Sprintf("version %d is more than %d records old", against, againstWindow)
	}
	for _, change := range edit.Changes {
		if winner := versions.newest(change); winner >= against {
			return view.Tree, fmt.Sprintf("%s was changed at version %d%s", nameOf(change), winner+1, authorOf(view, winner))
		}
	}
	changed, err := view.Tree.WithChanges(edit.Changes)
	if err != nil {
		return view.Tree, "the edit is not valid:\n" + err.Error()
	}
	return changed, ""
}

func nameOf(change tree.Change) string {
	if change.Key == "" {
		return "[" + change.Section + "]"
	}
	return "[" + change.Section + "] " + change.Key
}

func authorOf(view View, offset clementinewind.Offset) string {
	edit, ok := view.edit(offset)
	if !ok {
		return ""
	}
	return fmt.Sprintf(" by %s (%s)", edit.Who, edit.Why)
}
