// Package hatchorder places the layers of models on engines, and decides which
// layer commands to send so that each engine holds the model, version and layers
// that are assigned to it.
//
// One daemon sends the layer commands: the holder of the lease object. Each
// takeover raises the lease's fencing number by a conditional write. The number
// identifies the latest holder but does not stop an earlier one: a process that
// was paused may still send. An engine that checks fencing numbers refuses its
// command. An engine that does not check may apply it. Commands therefore state
// only the wanted result, and the holder queries the engines periodically and
// repeats the command if the result was overwritten.
//
// After a late command, an engine that does not check fencing numbers may hold
// layers that an earlier configuration assigned to it. This lasts until the
// holder's next query, at most the verify interval. In that time the engine refuses
// stages of the current pipeline, so answers are resumed elsewhere and none is
// wrong.
package hatchorder
