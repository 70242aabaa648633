// Package hatchentry implements the HTTP interfaces of a daemon: one for callers
// and one for operators. It reads requests within limits, writes failures as RFC
// 9457 problems according to the ErrorResponse of their kind, and leaves all
// decisions to the daemon.
package hatchentry
