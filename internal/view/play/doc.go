// Package play simulates clusters of [view.Machine] in virtual time, with lost and late messages, cut links, pauses,
// killed processes and clocks that run at different rates. After each event it updates the largest sum of the shares of
// all senders, which must not exceed one rate.
package play
