// Package texts contains the texts that tamarackctl prints for operators: help, messages and table headings.
package texts
