package store

import "cleatpick/internal/loop"

// bucket is a token bucket on the monotonic clock.
type bucket struct {
	rate, burst, tokens float64
	filledAt            loop.Micros
}

// fill adds the tokens that have accrued until now; the bucket starts full.
func (b *bucket) fill(now loop.Micros) {
	if b.filledAt != 0 {
		b.tokens += float64(now-b.filledAt) / 1e6 * b.rate
	}
	if b.tokens > b.burst || b.filledAt == 0 {
		b.tokens = b.burst
	}
	b.filledAt = now
}

const (
	// A refusal by rate means that all controllers together send too many requests. Each controller that is
	// refused multiplies its pace by paceFactor, at most once in minSlowDownInterval and down to minPace at
	// most. The pace recovers by paceStep with each call of SetShare that comes more than a second after the last
	// slowdown.
	paceFactor          = 0.7
	minSlowDownInterval = 500 * loop.Millisecond
	minPace             = 0.25
	paceStep            = 0.05
)

// SetShare sets the share of the service's limits that this controller uses. It is called periodically.
func (c *Client) SetShare(share float64) {
	pace := c.pace
	if pace < 1 && c.runner.Now()-c.slowedAt > loop.Second {
		pace = min(pace+paceStep, 1)
	}
	c.setRates(share, pace)
}

// slowDown reduces the pace after the service refused a request by rate.
func (c *Client) slowDown() {
	now := c.runner.Now()
	if c.slowedAt == 0 || now-c.slowedAt >= minSlowDownInterval {
		c.slowedAt = now
		c.setRates(c.share, max(c.pace*paceFactor, minPace))
	}
}

// setRates sets the rates and bursts of the token buckets.
func (c *Client) setRates(share, pace float64) {
	if share == c.share && pace == c.pace {
		return
	}
	now := c.runner.Now()
	for _, b := range []*bucket{&c.requestTokens, &c.inquiryTokens, &c.changeTokens} {
		if b.filledAt != 0 {
			b.fill(now) // tokens that accrued until now did so at the old rate
		}
	}
	c.share, c.pace = share, pace
	reads, puts := c.rps*share*pace, c.writeRPS*share*pace
	c.requestTokens.rate, c.requestTokens.burst = reads, max(reads*0.5, 4)
	c.inquiryTokens.rate, c.inquiryTokens.burst = reads*inquiryShare, max(reads*inquiryShare*0.5, 2)
	c.changeTokens.rate, c.changeTokens.burst = puts, max(puts*0.9, 4)
}
