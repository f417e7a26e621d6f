// Package page makes one HTML file of a report, with its plots in it: it opens
// without a network.
package page
