// Package ready kills several processes of the real program at once, as senders of the
// platform with messages held, starts them again while discovery is down, and measures
// how long each takes until clients are served.
package ready
