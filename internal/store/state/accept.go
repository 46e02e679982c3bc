package state

import (
	"fmt"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/tree"
)

// conflictWindowRecords is the number of control records for which the versions of keys are kept. An edit based on an
// older version is rejected, which bounds the versions in memory. With 1,900 edits a day the window covers five days.
const conflictWindowRecords = 10_000

// keyVersions holds, by section and key, the offset of the edit that last changed a key. The empty key stands for
// adding or removing the section itself.
type keyVersions map[string][]keyVersion

type keyVersion struct {
	key    string
	offset clementinewind.Offset
}

func (keyVersions keyVersions) get(section, key string) clementinewind.Offset {
	for _, version := range keyVersions[section] {
		if version.key == key {
			return version.offset
		}
	}
	return -1
}

func (keyVersions keyVersions) set(section, key string, offset clementinewind.Offset) {
	keys := keyVersions[section]
	for i := range keys {
		if keys[i].key == key {
			keys[i].offset = offset
			return
		}
	}
	keyVersions[section] = append(keys, keyVersion{key, offset})
}

// prune drops the versions that are too old for any acceptable edit to conflict with.
func (keyVersions keyVersions) prune(next clementinewind.Offset) {
	for section, keys := range keyVersions {
		kept := keys[:0]
		for _, version := range keys {
			if version.offset >= next-conflictWindowRecords {
				kept = append(kept, version)
			}
		}
		if len(kept) == 0 {
			delete(keyVersions, section)
		} else {
			keyVersions[section] = kept
		}
	}
}

// record notes the offset of an accepted edit as the version of what the change names.
func (keyVersions keyVersions) record(change tree.Change, offset clementinewind.Offset) {
	if change.Key == "" && change.Unset {
		// The version of the section itself covers everything below it.
		for section := range keyVersions {
			if tree.Within(section, change.Section) {
				delete(keyVersions, section)
			}
		}
	}
	keyVersions.set(change.Section, change.Key, offset)
}

// newest returns the offset of the newest edit that conflicts with a change, or -1 if there is none.
func (keyVersions keyVersions) newest(change tree.Change) clementinewind.Offset {
	newest := keyVersions.get(change.Section, change.Key)
	for section := change.Section; section != ""; section = tree.Parent(section) {
		newest = max(newest, keyVersions.get(section, ""))
	}
	if change.Key == "" && change.Unset {
		for section, keys := range keyVersions {
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

// decideEdit accepts or rejects an edit. It is deterministic: its arguments are equal on all replicas at the same
// offset. base is the version that the author saw, which is the first offset that it does not include, so a change at
// offset base is a conflict.
func decideEdit(view View, versions keyVersions, edit Edit, base clementinewind.Offset) (tree.Tree, string) {
	offset := view.Version
	switch {
	case len(edit.Changes) == 0:
		return view.Tree, "the edit has no changes"
	case base < 0 || base > offset:
		return view.Tree, fmt.Sprintf("version %d does not exist before the edit at version %d", base, offset+1)
	case base < offset-conflictWindowRecords:
		return view.Tree, fmt.Sprintf("version %d is more than %d records old", base, conflictWindowRecords)
	}
	for _, change := range edit.Changes {
		if conflictOffset := versions.newest(change); conflictOffset >= base {
			return view.Tree, fmt.Sprintf("%s was changed at version %d%s", describeTarget(change), conflictOffset+1, describeAuthor(view, conflictOffset))
		}
	}
	changed, err := view.Tree.WithChanges(edit.Changes)
	if err != nil {
		return view.Tree, "the edit is not valid:\n" + err.Error()
	}
	return changed, ""
}

func describeTarget(change tree.Change) string {
	if change.Key == "" {
		return "[" + change.Section + "]"
	}
	return "[" + change.Section + "] " + change.Key
}

func describeAuthor(view View, offset clementinewind.Offset) string {
	edit, ok := view.editAt(offset)
	if !ok {
		return ""
	}
	return fmt.Sprintf(" by %s (%s)", edit.Who, edit.Why)
}
