// Package drive plays a scenario of package load against a running daemon. It submits each
// message at its planned time, independent of earlier replies (open model).
package drive
