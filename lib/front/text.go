package front

import (
	"net/http"

	"tamarackrudder.org/lib/verd"
)

// Status returns the HTTP status of a request without a response: a 4xx status where the cause lies with the request or its
// organisation, else 503 if the request did not run and 504 if it may have run.
func Status(v verd.Verdict) int {
	switch v.Reason() {
	case verd.ReasonUnknownRoute:
		return http.StatusNotFound
	case verd.ReasonBadRequest, verd.ReasonKeyMissing, verd.ReasonKeyUnreadable, verd.ReasonKeyInFuture,
		verd.ReasonBodyTruncated, verd.ReasonBadContext:
		return http.StatusBadRequest
	case verd.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case verd.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case verd.ReasonUnknownKey:
		return http.StatusUnauthorized
	case verd.ReasonOrganisationLimit, verd.ReasonQuota:
		return http.StatusTooManyRequests
	}
	if v.IsNotRun() {
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

// reasonTexts holds the explanation of each reason in the response body for the caller.
var reasonTexts = map[verd.Reason]string{
	verd.ReasonUnknownRoute:      "no rule fits this method and path",
	verd.ReasonBadRequest:        "the request or one of its header fields cannot be read",
	verd.ReasonBodyTooLarge:      "the body is larger than the rules or the memory of this node allow",
	verd.ReasonBodyTruncated:     "the body ended before its announced length",
	verd.ReasonBodiesFull:        "the bodies of other requests take all memory that a node has for them",
	verd.ReasonKeyMissing:        "this route needs an Idempotency-Key",
	verd.ReasonKeyUnreadable:     "the Idempotency-Key carries no mint time that this node can trust yet; use a UUIDv7",
	verd.ReasonKeyReused:         "the Idempotency-Key belongs to another request",
	verd.ReasonKeyInFuture:       "the Idempotency-Key was minted in the future; check the caller's clock",
	verd.ReasonKeyExpired:        "the Idempotency-Key is older than the rules remember",
	verd.ReasonBeforeOwnership:   "the Idempotency-Key is older than this node's knowledge; an earlier owner may have run it",
	verd.ReasonKeyTableFull:      "no room to remember another Idempotency-Key",
	verd.ReasonNotOwner:          "no endpoint that owns this key could be reached",
	verd.ReasonNoLease:           "the key's owner holds no lease now",
	verd.ReasonNoRules:           "this node has no rules yet",
	verd.ReasonNoEndpoint:        "no endpoint of the service is known",
	verd.ReasonBadContext:        "the Tamarack-Context is not that of an open request",
	verd.ReasonQueueFull:         "too many requests of this or a higher class wait",
	verd.ReasonShedEarly:         "a service that this request needs sheds its class",
	verd.ReasonOrganisationLimit: "the organisation has as many requests open as its limit allows",
	verd.ReasonQuota:             "the organisation has used its quota for now",
	verd.ReasonUnknownKey:        "the key belongs to no organisation, or there is none",
	verd.ReasonDeadline:          "the deadline passed",
	verd.ReasonCanceled:          "the caller is gone",
	verd.ReasonLeaving:           "the endpoint is leaving",
	verd.ReasonCrashSuspect:      "a request like this one crashed two backend servers",
	verd.ReasonRetrySpent:        "the retries of the whole chain are spent",
	verd.ReasonBackendDown:       "the backend server accepts no connections",
	verd.ReasonBackendShed:       "the backend server refused the request for its load",
	verd.ReasonPeerUnreachable:   "the endpoint's node cannot be reached",
	verd.ReasonPeerVersion:       "the endpoint's node speaks another version",
	verd.ReasonConnLost:          "a connection broke while the backend server had the request",
	verd.ReasonAnswerLost:        "the connection failed before the whole answer came",
	verd.ReasonSilent:            "the endpoint did not answer in time",
	verd.ReasonLinkSilent:        "the connection to the endpoint fell silent",
	verd.ReasonAnswerTooLarge:    "the answer is larger than can be passed on",
}

// Text returns the explanation of a refusal for the caller, led by whether the request may have run. A reason without a
// text is named by its code.
func Text(v verd.Verdict) string {
	text, ok := reasonTexts[v.Reason()]
	if !ok {
		text = string(v.Reason())
	}
	if v.IsNotRun() {
		return "not run: " + text
	}
	return "may have run: " + text
}
