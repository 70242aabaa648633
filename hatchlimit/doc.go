// Package hatchlimit decides which requests are sent to the engines now, which
// wait, and which are refused because they could not finish by their deadline.
//
// Each daemon keeps a window of requests in flight for each model and adapts it
// by how long first tokens take: all daemons together then keep the engines
// busy with short queues there, and the waiting happens here, where it can be
// ordered. Organisations get turns by weighted fair queueing of the tokens that
// they ask for, so a share that is not used is lent out and a burst of one is
// paid for by itself; within an organisation the earliest deadline goes first.
package hatchlimit
