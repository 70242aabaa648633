package dragonflyhatch

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Failure is an error with a kind, which determines the HTTP response.
type Failure struct {
	Kind   Kind
	Detail string
	Cause  error // underlying error, or nil

	RetryAfter time.Duration // after which the request may be served, or 0 if unknown
}

// Failf returns a Failure of the kind with a formatted detail.
func Failf(kind Kind, format string, args ...any) error {
	return &Failure{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the kind and the detail.
func (failure *Failure) Error() string {
	return failure.Kind.String() + ": " + failure.Detail
}

// Unwrap returns the cause.
func (failure *Failure) Unwrap() error {
	return failure.Cause
}

// FailureOf returns the Failure in the chain of err. Any other error is returned
// as KindInternal, for which it is unknown whether the request ran.
func FailureOf(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{Kind: KindInternal, Detail: err.Error()}
}

// KindOf returns the kind of the Failure in the chain of err, or KindInternal if
// there is none.
func KindOf(err error) Kind {
	return FailureOf(err).Kind
}
