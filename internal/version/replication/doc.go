// Package replication brings a routing table from one process to another and sends only what
// the other one does not have.
//
// # The model
//
// Listeners are identified by the hash of their encoding. The hashes of a table, in ascending
// order, are divided into parts by their first bits, and each part has a digest. A reader
// sends the digests of the parts of the table that it has; the source answers with the hashes
// of the parts that differ; the reader asks for the listeners whose hashes it does not know,
// some at a time.
//
// No version needs to be known to both sides, so a reader catches up in one step with any
// source, whatever it has missed. What it has received is good for every later attempt, from
// any source and for any later version, as it is identified by its content. The digest of the
// whole table proves that the result is the source's table; if it is not, the reader has to
// get the table whole.
//
// # Usage
//
// The source answers from its table in force, and from an Archive of what that has replaced:
//
//	answer, err := replication.Compare(table, question)
//	answer := replication.Collect(table, archive, question)
//
// The reader keeps a Transfer from one attempt to the next:
//
//	answer := ask(transfer.Question(base, base.Version))
//	err := transfer.Begin(base, answer)
//	for !transfer.Complete() {
//		progress, err := transfer.Add(ask(transfer.Next()))
//	}
//	table, err := transfer.Finish(base)
package replication
