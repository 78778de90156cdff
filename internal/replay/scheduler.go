package replay

import (
	"container/heap"

	"archknot/balancer"
)

// scheduler is a queue of tasks in virtual time. Tasks that are due at the same time run in the order of scheduling.
type scheduler struct {
	now     balancer.Micros
	pending taskQueue
	seq     uint64 // sequence number of the task that was scheduled last
}

// after schedules a task to run after a delay of at least one microsecond.
func (s *scheduler) after(delay balancer.Micros, run func()) {
	s.seq++
	heap.Push(&s.pending, scheduledTask{s.now + max(1, delay), s.seq, run})
}

// next removes the earliest task that is due by a time and advances the clock to the task's time. It reports false if no
// task is due.
func (s *scheduler) next(by balancer.Micros) (run func(), ok bool) {
	if len(s.pending) == 0 || s.pending[0].at > by {
		return nil, false
	}
	task, ok := heap.Pop(&s.pending).(scheduledTask)
	s.now = task.at
	return task.run, ok
}

// scheduledTask is a function with the time at which it runs.
type scheduledTask struct {
	at  balancer.Micros
	seq uint64
	run func()
}

// taskQueue implements heap.Interface for a scheduler's tasks.
type taskQueue []scheduledTask

// Len implements sort.Interface.
func (q taskQueue) Len() int { return len(q) }

// Less implements sort.Interface. It orders tasks by time, and by the order of scheduling at equal times.
func (q taskQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap implements sort.Interface.
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *taskQueue) Push(x any) {
	if task, ok := x.(scheduledTask); ok { // no other type is pushed
		*q = append(*q, task)
	}
}

// Pop implements heap.Interface.
func (q *taskQueue) Pop() any {
	last := len(*q) - 1
	task := (*q)[last]
	*q = (*q)[:last]
	return task
}
