package hatchconfig

import (
	"slices"
	"strings"

	"dragonflyhatch"
)

// Diff compares the base and each overlay of two configurations by field. It returns
// a line with - for each old value and a line with + for each new one.
func Diff(before, after dragonflyhatch.AcceptedConfiguration) []string {
	var lines []string
	lines = append(lines, diffSources("base", before.Base, after.Base)...)
	for _, site := range overlaySites(before, after) {
		lines = append(lines, diffSources(site, overlayForSite(before, site), overlayForSite(after, site))...)
	}
	return lines
}

func overlaySites(configurations ...dragonflyhatch.AcceptedConfiguration) []string {
	var sites []string
	for _, configuration := range configurations {
		for _, overlay := range configuration.Overlays {
			sites = append(sites, overlay.Site)
		}
	}
	slices.Sort(sites)
	return slices.Compact(sites)
}

func overlayForSite(configuration dragonflyhatch.AcceptedConfiguration, site string) dragonflyhatch.SourceFile {
	for _, overlay := range configuration.Overlays {
		if overlay.Site == site {
			return overlay
		}
	}
	return dragonflyhatch.SourceFile{}
}

func diffSources(label string, before, after dragonflyhatch.SourceFile) []string {
	oldValues, newValues := literalsByPath(before), literalsByPath(after)
	var lines []string
	for _, path := range allPaths(oldValues, newValues) {
		if oldValues[path] == newValues[path] {
			continue
		}
		if value, ok := oldValues[path]; ok {
			lines = append(lines, "- "+label+": "+path+" = "+value)
		}
		if value, ok := newValues[path]; ok {
			lines = append(lines, "+ "+label+": "+path+" = "+value)
		}
	}
	return lines
}

func allPaths(fields ...map[string]string) []string {
	var paths []string
	for _, list := range fields {
		for path := range list {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return slices.Compact(paths)
}

// literalsByPath returns the literals of a source by path, or the whole text as one
// value if it cannot be parsed.
func literalsByPath(source dragonflyhatch.SourceFile) map[string]string {
	fields := make(map[string]string)
	if source.Text == "" {
		return fields
	}
	tree, faults := parse(source.Name, source.Text)
	if len(faults) > 0 {
		fields["(unreadable)"] = strings.TrimSpace(source.Text)
		return fields
	}
	tree.collectLiterals("", fields)
	return fields
}

// collectLiterals adds the literals of the node and below it to fields. All elements
// of a list have the same path; their values are joined.
func (node *node) collectLiterals(path string, fields map[string]string) {
	switch {
	case node.object:
		for _, member := range node.members {
			member.value.collectLiterals(joinPath(path, member.name), fields)
		}
	case node.array:
		for _, element := range node.elements {
			element.collectLiterals(path+"[]", fields)
		}
	default:
		if previous, ok := fields[path]; ok {
			fields[path] = previous + ", " + string(node.literal)
			return
		}
		fields[path] = string(node.literal)
	}
}
