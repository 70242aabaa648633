// Package hatchload sends a bounded load to a fleet as its callers would, and
// reports the results: the tokens completed before the deadline compared with
// the upper bound, the times to the first token and between tokens, and counts
// by outcome. Against the stand-in systems it also checks the text of each
// completion and how often each order ran.
package hatchload
