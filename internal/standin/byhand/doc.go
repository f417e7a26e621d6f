// Package byhand is a stand-in for an endpoint whose calls a test answers one by one, and has the helpers with
// which tests wait for events.
package byhand
