package peer

import (
	"cleatpick/internal/wire"
)

// encode returns the frames that carry an envelope: one if it is small, otherwise several of about targetFrame each at
// most, in the order in which the receiver has to handle them. No frame exceeds maxFrame, which receivers refuse;
// dropped is the number of items that no such frame can hold.
func (n *Net) encode(e *Envelope) (frames [][]byte, dropped int) {
	body := wire.Marshal(e)
	if len(body) <= n.targetFrame {
		return [][]byte{body}, 0
	}
	if first, second, ok := e.halve(); ok {
		frames, dropped = n.encode(first)
		more, moreDropped := n.encode(second)
		return append(frames, more...), dropped + moreDropped
	}
	if len(body) <= n.maxFrame {
		return [][]byte{body}, 0
	}
	if smaller := e.withHalfOfDemand(); smaller != nil {
		frames, dropped = n.encode(smaller)
		return frames, dropped + len(e.Demand.Requests) - len(smaller.Demand.Requests)
	}
	return nil, 1
}

// halve divides an envelope into two with half of its items each. The first holds those that the receiver handles
// first; ok is false if there is only one item.
func (e *Envelope) halve() (first, second *Envelope, ok bool) {
	left := e.items() / 2
	if left == 0 {
		return nil, nil, false
	}
	first = &Envelope{From: e.From, Incarnation: e.Incarnation}
	second = &Envelope{From: e.From, Incarnation: e.Incarnation}
	first.Status, second.Status = divideOne(&left, e.Status)
	first.Watermark, second.Watermark = divideOne(&left, e.Watermark)
	first.Teams, second.Teams = divide(&left, e.Teams)
	first.Views, second.Views = divide(&left, e.Views)
	first.Deltas, second.Deltas = divide(&left, e.Deltas)
	first.MissingViews, second.MissingViews = divide(&left, e.MissingViews)
	first.StartBlocks, second.StartBlocks = divide(&left, e.StartBlocks)
	first.Stops, second.Stops = divide(&left, e.Stops)
	first.TaskListRequests, second.TaskListRequests = divide(&left, e.TaskListRequests)
	first.StartReservations, second.StartReservations = divide(&left, e.StartReservations)
	first.Starts, second.Starts = divide(&left, e.Starts)
	first.Rejections, second.Rejections = divide(&left, e.Rejections)
	first.Demand, second.Demand = divideOne(&left, e.Demand)
	first.Progress, second.Progress = divide(&left, e.Progress)
	first.Questions, second.Questions = divide(&left, e.Questions)
	first.Replies, second.Replies = divide(&left, e.Replies)
	first.QueuePositions, second.QueuePositions = divide(&left, e.QueuePositions)
	first.Usage, second.Usage = divide(&left, e.Usage)
	first.Reservations, second.Reservations = divide(&left, e.Reservations)
	return first, second, true
}

// items returns the number of parts into which an envelope can be divided.
func (e *Envelope) items() int {
	n := len(e.Teams) + len(e.Views) + len(e.Deltas) + len(e.MissingViews) + len(e.StartBlocks) + len(e.Stops) + len(e.TaskListRequests) +
		len(e.StartReservations) + len(e.Starts) + len(e.Rejections) + len(e.Progress) + len(e.Questions) + len(e.Replies) + len(e.QueuePositions) +
		len(e.Usage) + len(e.Reservations)
	if e.Status != nil {
		n++
	}
	if e.Watermark != nil {
		n++
	}
	if e.Demand != nil {
		n++
	}
	return n
}

// divide returns the first items of a list, as many as are left for the first envelope, and the others.
func divide[T any](left *int, all []T) (first, second []T) {
	k := min(*left, len(all))
	*left -= k
	return all[:k:k], all[k:]
}

// divideOne is divide for a part that occurs once.
func divideOne[T any](left *int, part *T) (first, second *T) {
	if part == nil || *left == 0 {
		return nil, part
	}
	*left--
	return part, nil
}

// withHalfOfDemand returns an envelope with the first half of the requests of its demand, which are those to be served
// first. A demand replaces the one before, so it cannot be divided; it returns nil if there are none to be left out.
func (e *Envelope) withHalfOfDemand() *Envelope {
	if e.Demand == nil || len(e.Demand.Requests) == 0 {
		return nil
	}
	demand := *e.Demand
	demand.Requests = demand.Requests[:len(demand.Requests)/2]
	smaller := *e
	smaller.Demand = &demand
	return &smaller
}
