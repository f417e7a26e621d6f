// Package journal persists what must outlive the process: the accepted messages with the state
// of their attempts, and for a limited time how they ended.
package journal
