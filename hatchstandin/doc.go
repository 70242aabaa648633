// Package hatchstandin holds small stand-ins for what the router meets: the
// platform's object API, the model engines and the plain services. Each speaks
// the published protocol, counts what it is asked, and misbehaves on request.
// They take the place of the real systems in tests and in the demo only.
package hatchstandin
