// Package budget bounds the memory that bodies of requests or answers take together. A body takes its bytes from the budget
// before it is read, or as it grows if its length is not known, and gives them back when nobody needs it any more. A part of
// the budget is reserved for short bodies, so that a few long ones do not keep out all others.
//
// A Budget has no lock; a Hold has one, which is taken alone.
package budget
