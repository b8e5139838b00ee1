// Package recent provides a set that holds the values added last in bounded memory, without a time stamp for each.
package recent
