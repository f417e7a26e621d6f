// Package core owns the decision module: it holds the messages, writes the
// journal, lets a [logic.Sender] decide what is sent where and when, and acts on
// its word. It decides nothing about messages itself.
//
// How messages come in, how they go out, who the partners are and who is told of
// ends is a matter of fronts, transports, sources and end sinks. The core knows
// them by the interfaces in this package and imports none of them.
package core
