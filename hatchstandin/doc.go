// Package hatchstandin contains small stand-ins for the systems around the
// router: the platform's object API, model engines, plain services and callers.
// The servers among them implement the published protocol, record the requests
// that they receive and inject faults on request. They replace the real systems
// in tests and in the demo only.
//
// Engine and Service implement the protocol that the command serve expects of its
// upstreams; LayerEngine and PlainReplica implement the platform's protocol, which
// the command gateway uses. Platform is the metadata store of both.
package hatchstandin
