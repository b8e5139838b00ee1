package verd

import (
	"context"
	"errors"
	"fmt"
)

// Kind states whether a request ran, did not run, or may have run.
type Kind string

// The kinds of verdict; the values are those of the Tamarack-Verdict header.
const (
	KindRan        Kind = "ran"
	KindNotRun     Kind = "not-run"
	KindMayHaveRun Kind = "may-have-run"
)

// Reason is the code that states why a request did not run, or why it is unknown whether it ran.
type Reason string

// The reason codes; the values are those of the Tamarack-Reason header. Package front has the text of each for callers.
const (
	ReasonNone              Reason = ""
	ReasonUnknownRoute      Reason = "unknownRoute"
	ReasonBadRequest        Reason = "badRequest"
	ReasonBodyTooLarge      Reason = "bodyTooLarge"
	ReasonBodyTruncated     Reason = "bodyTruncated"
	ReasonBodiesFull        Reason = "bodiesFull"
	ReasonKeyMissing        Reason = "keyMissing"
	ReasonKeyUnreadable     Reason = "keyUnreadable"
	ReasonKeyReused         Reason = "keyReused"
	ReasonKeyInFuture       Reason = "keyInFuture"
	ReasonKeyExpired        Reason = "keyExpired"
	ReasonBeforeOwnership   Reason = "beforeTenure"
	ReasonKeyTableFull      Reason = "keyTableFull"
	ReasonNotOwner          Reason = "notOwner"
	ReasonNoLease           Reason = "noLease"
	ReasonNoRules           Reason = "noRules"
	ReasonNoEndpoint        Reason = "noEndpoint"
	ReasonBadContext        Reason = "badContext"
	ReasonQueueFull         Reason = "queueFull"
	ReasonShedEarly         Reason = "shedEarly"
	ReasonOrganisationLimit Reason = "tenantLimit"
	ReasonQuota             Reason = "quota"
	ReasonUnknownKey        Reason = "keyUnknown"
	ReasonDeadline          Reason = "deadline"
	ReasonCanceled          Reason = "canceled"
	ReasonLeaving           Reason = "leaving"
	ReasonCrashSuspect      Reason = "crashSuspect"
	ReasonRetrySpent        Reason = "retrySpent"
	ReasonBackendDown       Reason = "backendDown"
	ReasonBackendShed       Reason = "backendShed"
	ReasonBackendReplaced   Reason = "backendReplaced"
	ReasonPeerUnreachable   Reason = "peerUnreachable"
	ReasonPeerVersion       Reason = "peerVersion"
	ReasonAnswerLost        Reason = "answerLost"
	ReasonConnLost          Reason = "connectionLost"
	ReasonSilent            Reason = "silent"
	ReasonLinkSilent        Reason = "linkSilent"
	ReasonAnswerTooLarge    Reason = "answerTooLarge"
)

// Verdict is the kind of result of a request, with its reason; the zero value is invalid.
type Verdict struct {
	kind   Kind
	reason Reason
}

var errUnknownKind = errors.New("unknown verdict")

// Ran is the verdict of a request whose complete response was received.
func Ran() Verdict { return Verdict{kind: KindRan} }

// NotRun is the verdict of a request that provably did not start at any backend server.
func NotRun(reason Reason) Verdict { return Verdict{kind: KindNotRun, reason: reason} }

// MayHaveRun is the verdict of a request that may have started, and whose complete response was not received.
func MayHaveRun(reason Reason) Verdict { return Verdict{kind: KindMayHaveRun, reason: reason} }

// ReasonOf returns why a request is given up whose context has ended: its deadline has passed, or it was canceled.
func ReasonOf(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCanceled
}

// Parse returns the verdict of a kind and a reason as they are written in headers and messages. An unknown kind is an
// error; the reason is not checked.
func Parse(kind, reason string) (Verdict, error) {
	switch Kind(kind) {
	case KindRan, KindNotRun, KindMayHaveRun:
		return Verdict{kind: Kind(kind), reason: Reason(reason)}, nil
	}
	return Verdict{}, fmt.Errorf("%w %q", errUnknownKind, kind)
}

// Kind returns whether the request ran, did not run, or may have run.
func (v Verdict) Kind() Kind { return v.kind }

// Reason returns the reason code, ReasonNone for a request that ran.
func (v Verdict) Reason() Reason { return v.reason }

// HasRun reports whether the complete response of the request was received.
func (v Verdict) HasRun() bool { return v.kind == KindRan }

// IsNotRun reports whether the request provably did not start.
func (v Verdict) IsNotRun() bool { return v.kind == KindNotRun }

// IsOverload reports whether overload is the only cause of the verdict. A deadline counts only if the request did not
// run: it then passed, or could not be met, before the request started.
func (v Verdict) IsOverload() bool {
	switch v.reason {
	case ReasonQueueFull, ReasonShedEarly, ReasonBackendShed, ReasonBodiesFull:
		return true
	case ReasonDeadline:
		return v.kind == KindNotRun
	}
	return false
}

// Error returns the kind and the reason code, separated by a colon.
func (v Verdict) Error() string {
	if v.reason == ReasonNone {
		return string(v.kind)
	}
	return string(v.kind) + ": " + string(v.reason)
}
