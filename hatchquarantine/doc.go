// Package hatchquarantine decides which requests may be sent to replicas while a part
// of their prompts is suspected of terminating replicas (a query of death).
//
// The evidence against a part are terminations of replicas at which a request with the
// part had no answer yet; the evidence for it are answers to prompts with it. Only
// terminations after the latest answer count, and none that another part explains
// better. Daemons merge their evidence, so that it suffices that each of them sees one
// termination.
//
// The first termination delays requests with the part for as long as daemons need to
// exchange evidence; then they are sent one at a time, as trials. The second one holds
// all of them back. The time until the next trial grows with each termination. A trial
// that is answered ends the suspicion.
package hatchquarantine
