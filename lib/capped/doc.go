// Package capped bounds how many lines a busy node logs, and says how many were left out.
package capped
