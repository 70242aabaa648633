// Package hatchlimit decides which requests are sent to the engines now, which
// wait, and which are refused because they could not finish by their deadline.
//
// Each daemon limits the requests in flight for each model by a window, which
// it adapts to the time until the first token. This keeps the engines busy and
// the queues at the engines short; requests wait in the daemons, where they can
// be ordered. Organisations are served by weighted fair queueing of the tokens
// that they request: an unused share is available to the others, and a burst of
// one organisation delays only its own requests. Within an organisation the
// earliest deadline goes first.
//
// On the platform, Admission decides on the new streams of a service whose routes have
// different priorities, from the load of all heads and the demand of the whole fleet;
// RefusalProbability decides on those of other services. SlotSchedule spaces the requests
// to a replica that names a limit.
package hatchlimit
