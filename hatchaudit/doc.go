// Package hatchaudit keeps records of what the fleet does: the trail of changes,
// which lives in the platform and is bounded in size and in writes; the journal
// of recent requests, which lives in the memory of the daemon that took them; and
// the gateways' logs, which never block and tell the story of a request.
package hatchaudit
