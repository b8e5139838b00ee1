// Package trials measures the goodput, recovery and wasted work of a deployment under one scenario and one control mode,
// for the command tamarackbench measure. A trial has three phases: baseline load, the scenario's trigger, and baseline
// load again, in which the deployment recovers. The package has no locks.
package trials
