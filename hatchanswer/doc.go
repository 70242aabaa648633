// Package hatchanswer decides how the frames of a stream become one whole
// answer. Frames may come late, twice, out of order or from an attempt that is
// over; the assembler delivers each token position once and in order, or
// reports a gap. A sealed Place lets any daemon go on where a stream broke off.
package hatchanswer
