// Package spill joins the decisions of package backlog with the files of package
// disk: what is to be read is read beside the one that decides, and told to it.
package spill
