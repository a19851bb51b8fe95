package core

// list is an intrusive doubly linked list. Its nodes are fields of their owners, so that adding does not allocate and
// removal from the middle takes constant time.
type list[T any] struct {
	first, last *node[T]
	length      int
}

// node links one owner into one list.
type node[T any] struct {
	owner      *T
	prev, next *node[T]
}

// head returns the first owner, or nil.
func (l *list[T]) head() *T {
	if l.first == nil {
		return nil
	}
	return l.first.owner
}

func (l *list[T]) push(n *node[T], owner *T) {
	*n = node[T]{owner: owner, prev: l.last}
	if l.last == nil {
		l.first = n
	} else {
		l.last.next = n
	}
	l.last = n
	l.length++
}

func (l *list[T]) pushFront(n *node[T], owner *T) {
	*n = node[T]{owner: owner, next: l.first}
	if l.first == nil {
		l.last = n
	} else {
		l.first.prev = n
	}
	l.first = n
	l.length++
}

func (l *list[T]) remove(n *node[T]) {
	if n.prev == nil {
		l.first = n.next
	} else {
		n.prev.next = n.next
	}
	if n.next == nil {
		l.last = n.prev
	} else {
		n.next.prev = n.prev
	}
	n.prev, n.next = nil, nil
	l.length--
}
