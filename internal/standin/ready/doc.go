// Package ready kills several processes of the real program at once, as senders of the platform
// with pending messages. It restarts them while discovery is down, and measures how long each takes
// until it serves clients.
package ready
