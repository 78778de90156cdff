package engine

import "archknot/balancer"

// event is a function that is scheduled for a time.
type event struct {
	at  balancer.Micros
	seq uint64 // tie-breaker for events of the same time: scheduling order
	run func(now balancer.Micros)
}

func (a *event) before(b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// arity is the number of children of a heap node. A heap of arity 4 is flatter than a binary heap, and the
// children of a node are adjacent in memory.
const arity = 4

// eventQueue is a d-ary min-heap; the first element is the next event.
type eventQueue []event

func (q *eventQueue) push(e event) {
	heap := append(*q, e)
	i := len(heap) - 1
	for i > 0 {
		parent := (i - 1) / arity
		if !e.before(&heap[parent]) {
			break
		}
		heap[i] = heap[parent]
		i = parent
	}
	heap[i] = e
	*q = heap
}

// pop removes and returns the next event. The queue must not be empty.
func (q *eventQueue) pop() event {
	heap := *q
	top, last := heap[0], heap[len(heap)-1]
	heap[len(heap)-1] = event{} // release the function for garbage collection
	heap = heap[:len(heap)-1]
	*q = heap
	if len(heap) == 0 {
		return top
	}
	i := 0
	for {
		child := heap.firstChild(i)
		if child < 0 || !heap[child].before(&last) {
			break
		}
		heap[i] = heap[child]
		i = child
	}
	heap[i] = last
	return top
}

// firstChild returns the index of the node's earliest child, or -1 if the node has no children.
func (q eventQueue) firstChild(node int) int {
	first := node*arity + 1
	if first >= len(q) {
		return -1
	}
	earliest := first
	for child := first + 1; child < first+arity && child < len(q); child++ {
		if q[child].before(&q[earliest]) {
			earliest = child
		}
	}
	return earliest
}
