// Package page renders a load report as a self-contained HTML file with inline plots, which
// needs no network.
package page
