// Package core runs one sender: it holds the pending messages, writes the journal, passes events to the scheduler, a
// [logic.Sender] that decides which message is sent where and when, and carries out the actions that the scheduler
// returns. It makes no decisions about messages itself.
//
// Fronts accept messages from clients, transports deliver them to endpoints, sources list the endpoints of partners,
// and end sinks report how messages ended. The core uses them through the interfaces of this package and imports
// none of them.
package core
