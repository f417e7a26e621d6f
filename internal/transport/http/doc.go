// Package httptransport makes attempts as HTTP/1.1 calls over persistent
// connections. It never resends a request, and it records whether the last byte of
// a request was written, which separates attempts that never ran from attempts that
// may have run. net/http's transport does neither.
package httptransport
