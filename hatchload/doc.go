// Package hatchload sends a bounded load to a fleet the way its callers do, and
// reports what became of each request: how much work was finished inside the
// promised deadline against the most that could have been, the times to the
// first token and between tokens, and a tally of outcomes. Against the stand-in
// systems it also checks each answer's text and how often each order ran.
package hatchload
