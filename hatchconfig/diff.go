package hatchconfig

import (
	"slices"
	"strings"

	"dragonflyhatch"
)

// Diff lists the fields of the base and of each overlay that differ between two
// configurations, one a line: - for what goes, + for what comes.
func Diff(before, after dragonflyhatch.AcceptedConfiguration) []string {
	var lines []string
	lines = append(lines, diffSources("base", before.Base, after.Base)...)
	for _, site := range sitesOf(before, after) {
		lines = append(lines, diffSources(site, overlayOf(before, site), overlayOf(after, site))...)
	}
	return lines
}

func sitesOf(configurations ...dragonflyhatch.AcceptedConfiguration) []string {
	var sites []string
	for _, configuration := range configurations {
		for _, overlay := range configuration.Overlays {
			sites = append(sites, overlay.Site)
		}
	}
	slices.Sort(sites)
	return slices.Compact(sites)
}

func overlayOf(configuration dragonflyhatch.AcceptedConfiguration, site string) dragonflyhatch.SourceFile {
	for _, overlay := range configuration.Overlays {
		if overlay.Site == site {
			return overlay
		}
	}
	return dragonflyhatch.SourceFile{}
}

func diffSources(label string, before, after dragonflyhatch.SourceFile) []string {
	old, young := fieldsOf(before), fieldsOf(after)
	var lines []string
	for _, path := range pathsOf(old, young) {
		if old[path] == young[path] {
			continue
		}
		if value, ok := old[path]; ok {
			lines = append(lines, "- "+label+": "+path+" = "+value)
		}
		if value, ok := young[path]; ok {
			lines = append(lines, "+ "+label+": "+path+" = "+value)
		}
	}
	return lines
}

func pathsOf(fields ...map[string]string) []string {
	var paths []string
	for _, list := range fields {
		for path := range list {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return slices.Compact(paths)
}

// fieldsOf returns the literals of a source by path; a text that cannot be read
// counts as one value.
func fieldsOf(source dragonflyhatch.SourceFile) map[string]string {
	fields := make(map[string]string)
	if source.Text == "" {
		return fields
	}
	tree, faults := parse(source.Name, source.Text)
	if len(faults) > 0 {
		fields["(unreadable)"] = strings.TrimSpace(source.Text)
		return fields
	}
	tree.collect("", fields)
	return fields
}

func (node *node) collect(path string, fields map[string]string) {
	switch {
	case node.object:
		for _, member := range node.members {
			member.value.collect(join(path, member.name), fields)
		}
	case node.array:
		for _, element := range node.elements {
			element.collect(path+"[]", fields)
		}
	default:
		if known, ok := fields[path]; ok {
			fields[path] = known + ", " + string(node.literal)
			return
		}
		fields[path] = string(node.literal)
	}
}
