// Package docscheck contains tests that compare the documentation with the source.
package docscheck
