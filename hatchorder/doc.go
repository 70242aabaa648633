// Package hatchorder decides which layer commands the engines get, so that each
// holds the model, version and layers that the configuration assigns to it.
//
// One daemon sends the layer commands: the holder of the lease object. Each
// takeover raises the lease's fencing number by a conditional write. The number
// identifies the latest holder but does not stop an earlier one: a process that
// was paused may still send. An engine that checks fencing numbers refuses its
// command. An engine that does not check may apply it, so commands state only
// the wanted result, and the holder queries the engines periodically and sends
// the command again where the result was overwritten.
//
// An engine that does not check fencing numbers is exposed for at most the
// verify interval: between a late command and the holder's next query it holds
// what an earlier configuration assigned. It then refuses stages of the current
// pipeline, so answers are resumed elsewhere and none is wrong.
package hatchorder
