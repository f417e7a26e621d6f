// Package httptransport makes attempts as HTTP/1.1 calls over connections that it
// keeps. It never sends anything twice, and it knows whether the last byte was
// written: that tells what never ran from what may have run. net/http's transport
// does neither.
package httptransport
