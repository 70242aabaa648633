// Package hatchplatform is the client of the platform's object API. Queries and
// commands are kept apart: a query may be repeated at will, a command whose
// reply is lost may have taken effect and is never repeated here.
package hatchplatform
