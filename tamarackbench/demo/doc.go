// Package demo is the command tamarackbench demo, for people who want to see the control at work: it runs each deployment
// as processes on this machine, under a steady load, a surge and the recovery from it. It has no locks.
package demo
