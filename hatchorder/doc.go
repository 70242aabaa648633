// Package hatchorder decides which orders engines are given, so that each holds
// the model, version and layers that the configuration wants of it.
//
// One daemon gives the orders: the holder of the lease object, whose fencing
// number each take-over raises by a conditional write. The number says who was
// the last to be entitled, and nothing more; a holder that was paused may still
// send. An engine that checks fencing numbers refuses its order. An engine that
// does not check may carry it out, so orders state the wanted result only, and
// the holder looks again and again and repeats what was undone.
//
// What remains with an engine that does not check: between a late order and the
// holder's next look, at most the verify interval apart, the engine holds what
// an earlier configuration wanted. It then refuses stages of the wanted
// pipeline, so answers are resumed elsewhere and none is wrong.
package hatchorder
