// Package verd holds the verdict in which every request ends: whether it ran, did not run, or may have run, and why.
package verd
