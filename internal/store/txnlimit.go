package store

import "cleatpick/internal/wire"

const (
	// defaultTxnOps is the largest number of changes in a transaction until SetMaxChanges is called.
	defaultTxnOps = 16
	// minTxnOps and minValueBytes are the number of changes and the size of a value, in bytes, that every state
	// service accepts.
	minTxnOps     = 5
	minValueBytes = 2 << 10
	// condsPerOp is the number of conditions that a transaction may have for each change that it may have.
	condsPerOp = 4
)

// SetMaxChanges sets the largest number of changes in a transaction, as the settings name it.
func (c *Client) SetMaxChanges(n int) { c.txnOps = max(n, 1) }

// MaxChanges returns the largest number of changes in a transaction.
func (c *Client) MaxChanges() int { return c.txnOps }

// MaxConditions returns the largest number of conditions in a transaction.
func (c *Client) MaxConditions() int { return condsPerOp * c.txnOps }

// handleMalformed halves the size of later transactions after one was rejected as malformed: the state
// service may accept fewer changes than the settings say. It does nothing if the cause is a value that is too
// large, which is left to the caller that made it.
func (c *Client) handleMalformed(t wire.Txn) {
	used := max(len(t.Then), (len(t.If)+condsPerOp-1)/condsPerOp)
	if used <= minTxnOps && largestValue(t) > minValueBytes {
		return // the value is too large
	}
	if fewer := max(min(c.txnOps, used)/2, 1); fewer < c.txnOps {
		c.txnOps = max(fewer, min(minTxnOps, c.txnOps))
		c.log.Info("largest number of changes in a transaction reduced, since the state service rejected a transaction as malformed", "changes", c.txnOps)
	}
}

// largestValue returns the size in bytes of the largest value that a transaction puts.
func largestValue(t wire.Txn) int {
	most := 0
	for _, ch := range t.Then {
		if ch.Put != "" {
			most = max(most, len(wire.Marshal(ch.Value)))
		}
	}
	return most
}
