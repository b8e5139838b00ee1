// Package press refuses requests at the entry node that a downstream service would shed, before any work is done for
// them.
//
// Each route and class has an admission probability. It follows the fraction of offered requests that the downstream
// services accepted (after Beyer et al., "Site Reliability Engineering", chapter 21, "Client-Side Throttling") and
// rises quickly once no more requests are refused.
//
// Lock order: a Table has one lock; no other lock is held while it is taken, and none is taken under it.
package press
