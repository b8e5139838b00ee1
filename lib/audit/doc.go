// Package audit examines rules before they are published: entries that can never take effect, limits that contradict each
// other, and what differs from the rules in force.
//
// Rules with errors are refused by packages rules and platform, as they are by every node; package audit looks at valid ones.
package audit
