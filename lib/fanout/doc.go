// Package fanout learns how many calls of each route a backend server makes for a request of another route, where nothing
// in a call tells for which request it is made.
//
// In each short window the calls are taken as a sum over the parts of requests that fall into it, each route with a count
// of its own; the counts come from least squares over the windows, with older ones fading and none below zero.
//
// Lock order: a Table's lock is taken alone.
package fanout
