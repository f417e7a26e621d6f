// Package fleet runs several processes of the real program side by side and injects faults between
// them. Senders reach each other only through relays, so each directed pair can lose, delay,
// duplicate, cut or throttle its traffic as a script demands. Processes can be paused, killed and
// restarted. The timeline records the faults, what each sender reports about the others, and the
// calls that partners recorded.
package fleet
