// Package hatchstandin contains small stand-ins for the systems around the
// router: the platform's object API, model engines, plain services and callers.
// The servers among them implement the published protocol, record the requests
// that they receive and inject faults on request. They replace the real systems
// in tests and in the demo only.
package hatchstandin
