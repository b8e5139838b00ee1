package verd

import (
	"errors"
	"fmt"
)

// Kind says whether a request may have run.
type Kind string

// The kinds of verdict, in the words of the Tamarack-Verdict header.
const (
	KindRan        Kind = "ran"
	KindNotRun     Kind = "not-run"
	KindMayHaveRun Kind = "may-have-run"
)

// Reason says why a request did not run, or why nobody can tell.
type Reason string

// The reasons, in the words of the Tamarack-Reason header.
const (
	ReasonNone            Reason = ""
	ReasonUnknownRoute    Reason = "unknownRoute"
	ReasonBadRequest      Reason = "badRequest"
	ReasonBodyTooLarge    Reason = "bodyTooLarge"
	ReasonBodyTruncated   Reason = "bodyTruncated"
	ReasonKeyMissing      Reason = "keyMissing"
	ReasonKeyUnreadable   Reason = "keyUnreadable"
	ReasonKeyReused       Reason = "keyReused"
	ReasonKeyInFuture     Reason = "keyInFuture"
	ReasonKeyExpired      Reason = "keyExpired"
	ReasonBeforeTenure    Reason = "beforeTenure"
	ReasonKeyTableFull    Reason = "keyTableFull"
	ReasonNotOwner        Reason = "notOwner"
	ReasonNoLease         Reason = "noLease"
	ReasonNoRules         Reason = "noRules"
	ReasonNoEndpoint      Reason = "noEndpoint"
	ReasonBadContext      Reason = "badContext"
	ReasonQueueFull       Reason = "queueFull"
	ReasonShedEarly       Reason = "shedEarly"
	ReasonTenantLimit     Reason = "tenantLimit"
	ReasonDeadline        Reason = "deadline"
	ReasonCanceled        Reason = "canceled"
	ReasonLeaving         Reason = "leaving"
	ReasonCrashSuspect    Reason = "crashSuspect"
	ReasonRetrySpent      Reason = "retrySpent"
	ReasonBackendDown     Reason = "backendDown"
	ReasonBackendShed     Reason = "backendShed"
	ReasonBackendReplaced Reason = "backendReplaced"
	ReasonPeerUnreachable Reason = "peerUnreachable"
	ReasonPeerVersion     Reason = "peerVersion"
	ReasonAnswerLost      Reason = "answerLost"
	ReasonConnLost        Reason = "connectionLost"
	ReasonSilent          Reason = "silent"
	ReasonLinkSilent      Reason = "linkSilent"
	ReasonAnswerTooLarge  Reason = "answerTooLarge"
)

// Verdict is a kind with its reason; its zero value is invalid.
type Verdict struct {
	kind   Kind
	reason Reason
}

var errUnknownKind = errors.New("unknown verdict")

// Ran is the verdict of a request whose whole answer is at hand.
func Ran() Verdict { return Verdict{kind: KindRan} }

// NotRun is the verdict of a request that provably never started.
func NotRun(reason Reason) Verdict { return Verdict{kind: KindNotRun, reason: reason} }

// MayHaveRun is the verdict of a request that was sent and whose answer is not known.
func MayHaveRun(reason Reason) Verdict { return Verdict{kind: KindMayHaveRun, reason: reason} }

// Parse reads a verdict from its two header words.
func Parse(kind, reason string) (Verdict, error) {
	switch Kind(kind) {
	case KindRan, KindNotRun, KindMayHaveRun:
		return Verdict{kind: Kind(kind), reason: Reason(reason)}, nil
	}
	return Verdict{}, fmt.Errorf("%w %q", errUnknownKind, kind)
}

// Kind returns whether the request may have run.
func (v Verdict) Kind() Kind { return v.kind }

// Reason returns why, empty for a request that ran.
func (v Verdict) Reason() Reason { return v.reason }

// HasRun reports whether the whole answer is at hand.
func (v Verdict) HasRun() bool { return v.kind == KindRan }

// IsNotRun reports whether the request provably never started.
func (v Verdict) IsNotRun() bool { return v.kind == KindNotRun }

// IsOverload reports whether the refusal came from load alone.
func (v Verdict) IsOverload() bool {
	switch v.reason {
	case ReasonQueueFull, ReasonShedEarly, ReasonBackendShed:
		return true
	case ReasonDeadline:
		return v.kind == KindNotRun
	}
	return false
}

// Error renders the verdict as an error text.
func (v Verdict) Error() string {
	if v.reason == ReasonNone {
		return string(v.kind)
	}
	return string(v.kind) + ": " + string(v.reason)
}
