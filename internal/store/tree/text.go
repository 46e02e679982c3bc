package tree

import (
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Parse reads a tree in INI format. An error about the content is of type ValidationErrors.
func Parse(text string) (Tree, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}, []byte(text))
	if err != nil {
		return Tree{}, errors.Wrap(err, "settings are not INI")
	}
	var errs ValidationErrors
	var changes []Change
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection {
			for _, key := range section.Keys() {
				errs.add("", key.Name(), "the key is outside a section")
			}
			continue
		}
		changes = append(changes, Change{Section: section.Name()})
		for _, key := range section.Keys() {
			if len(key.ValueWithShadows()) > 1 {
				errs.add(section.Name(), key.Name(), "the key is set more than once")
			}
			changes = append(changes, Change{Section: section.Name(), Key: key.Name(), Value: key.Value()})
		}
	}
	tree, err := Tree{}.WithChanges(changes)
	var found ValidationErrors
	if errors.As(err, &found) {
		errs = append(errs, found...)
	}
	if err := errs.err(); err != nil {
		return Tree{}, err
	}
	return tree, nil
}

// Text returns the tree in INI format, in a stable order.
func (tree Tree) Text() string {
	var changes []Change
	if tree.sections != nil {
		tree.sections.sorted.Ascend(func(section *section) bool {
			changes = append(changes, Change{Section: section.path})
			for _, entry := range section.values {
				changes = append(changes, Change{Section: section.path, Key: entry.key, Value: entry.value})
			}
			return true
		})
	}
	return formatINI(changes)
}

// SectionText returns a section and those below it in INI format. If effective is set, it includes inherited values.
func (tree Tree) SectionText(path string, effective bool) (string, error) {
	if path == "" && !effective {
		return tree.Text(), nil
	}
	var changes []Change
	collect := func(path string) {
		changes = append(changes, Change{Section: path})
		for _, key := range schema(topSection(path)) {
			value, from, ok := tree.Effective(path, key.name)
			if ok && (effective || from == path) {
				changes = append(changes, Change{Section: path, Key: key.name, Value: value})
			}
		}
	}
	tops := []string{path}
	if path == "" {
		tops = []string{OrganisationsSection, PoolsSection, TokensSection, ZonesSection}
	}
	for _, top := range tops {
		if !tree.Has(top) {
			return "", ValidationError{Section: top, Message: "the section does not exist"}
		}
		collect(top)
		tree.walkBelow(top, func(section *section) bool {
			collect(section.path)
			return true
		})
	}
	return formatINI(changes), nil
}

// formatINI returns sections and their values in INI format. Names and values have been validated, so the library
// accepts them.
func formatINI(changes []Change) string {
	file := ini.Empty()
	for _, change := range changes {
		// NewKey and not Key, because Key falls back to the key of the parent section.
		if _, err := file.Section(change.Section).NewKey(change.Key, change.Value); change.Key != "" && err != nil {
			panic(errors.Wrap(err, "write settings"))
		}
	}
	var text strings.Builder
	if _, err := file.WriteTo(&text); err != nil {
		// A strings.Builder never fails, and validated values can always be written as INI.
		panic(errors.Wrap(err, "write settings"))
	}
	return text.String()
}
