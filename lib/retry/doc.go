// Package retry bounds retries: by an allowance that a request spends over its whole chain, and by a budget of each
// service over a sliding window of time.
package retry
