// Package docscheck holds tests that compare the documentation with the source.
package docscheck
