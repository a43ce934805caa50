package store

// Sequence numbers events on the event loop in their order: requests to the state service when they are made,
// and users' requests when they arrive. An answer based on a request to the state service reflects a time after
// a user's request only if its number is the higher one. Clock times do not show that, since several events can
// have the same microsecond.
type Sequence uint64

// NextSequence draws the next number.
func (c *Client) NextSequence() Sequence {
	c.sequence++
	return c.sequence
}
