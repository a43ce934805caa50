package store

import "cleatpick/internal/loop"

// bucket is a token bucket on the monotonic clock.
type bucket struct {
	rate, burst, have float64
	at                loop.Micros
}

// fill adds the tokens that have accrued until now; the bucket starts full.
func (b *bucket) fill(now loop.Micros) {
	if b.at != 0 {
		b.have += float64(now-b.at) / 1e6 * b.rate
	}
	if b.have > b.burst || b.at == 0 {
		b.have = b.burst
	}
	b.at = now
}

const (
	// A refusal by rate means that all controllers together send too many requests. Each controller that is
	// refused multiplies its pace by refusedPace, at most once in refusedRest and down to leastPace at most.
	// The pace recovers by regainPace with each call of Use that comes more than a second after the last
	// slowdown.
	refusedPace = 0.7
	refusedRest = 500 * loop.Millisecond
	leastPace   = 0.25
	regainPace  = 0.05
)

// Use sets the part of the service's limits that this controller uses. It is called periodically.
func (c *Client) Use(part float64) {
	pace := c.pace
	if pace < 1 && c.r.Now()-c.refused > loop.Second {
		pace = min(pace+regainPace, 1)
	}
	c.setRates(part, pace)
}

// slowDown reduces the pace after the service refused a request by rate.
func (c *Client) slowDown() {
	now := c.r.Now()
	if c.refused == 0 || now-c.refused >= refusedRest {
		c.refused = now
		c.setRates(c.part, max(c.pace*refusedPace, leastPace))
	}
}

// setRates sets the rates and bursts of the token buckets.
func (c *Client) setRates(part, pace float64) {
	if part == c.part && pace == c.pace {
		return
	}
	now := c.r.Now()
	for _, b := range []*bucket{&c.reads, &c.asks, &c.puts} {
		if b.at != 0 {
			b.fill(now) // tokens that accrued until now did so at the old rate
		}
	}
	c.part, c.pace = part, pace
	reads, puts := c.rps*part*pace, c.writeRPS*part*pace
	c.reads.rate, c.reads.burst = reads, max(reads*0.5, 4)
	c.asks.rate, c.asks.burst = reads*inquiryPart, max(reads*inquiryPart*0.5, 2)
	c.puts.rate, c.puts.burst = puts, max(puts*0.9, 4)
}
