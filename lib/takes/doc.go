// Package takes learns how many concurrent requests one endpoint takes well: up to which concurrency its run times stay at
// their usual.
//
// Run times are compared with the usual run time of their route at this endpoint, by the concurrency at which they ran. The
// estimate is the concurrency above which they are longer than below, if the difference is too large to be chance. An
// endpoint that is slow at every concurrency keeps its estimate, so that a service whose endpoints are all slow does not
// shrink. What was learned fades within seconds, so that an endpoint is tried at a higher concurrency again, and
// is forgotten when the endpoint is replaced. Refusals by the endpoint lower the estimate by their fraction.
//
// Lock order: a Learner has one lock; no other lock is held while it is taken, and none is taken under it.
package takes
