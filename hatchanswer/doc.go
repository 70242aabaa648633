// Package hatchanswer assembles the frames of a stream into one complete answer.
// Frames may arrive late, twice, out of order or from an earlier attempt; the
// assembler delivers each token position once and in order, or reports a gap. A
// sealed resume position, the resume token, lets any daemon resume a broken
// stream.
package hatchanswer
