package mtqueue

// The waiting requests of a lane form a treap ordered by tag, in which each node holds the sums
// of its subtree. Inserting, removing and summing up the items before a tag take time
// logarithmic in the number of waiting requests.

func (it *item) updateSum() {
	it.sum = it.demand
	if it.left != nil {
		it.sum = it.sum.plus(it.left.sum)
	}
	if it.right != nil {
		it.sum = it.sum.plus(it.right.sum)
	}
}

func insert(root, it *item) *item {
	if root == nil {
		it.left, it.right = nil, nil
		it.updateSum()
		return it
	}
	if it.priority > root.priority {
		it.left, it.right = split(root, it)
		it.updateSum()
		return it
	}
	if it.before(root) {
		root.left = insert(root.left, it)
	} else {
		root.right = insert(root.right, it)
	}
	root.updateSum()
	return root
}

// split divides a tree into the items before it and the rest.
func split(root, it *item) (*item, *item) {
	if root == nil {
		return nil, nil
	}
	if root.before(it) {
		less, more := split(root.right, it)
		root.right = less
		root.updateSum()
		return root, more
	}
	less, more := split(root.left, it)
	root.left = more
	root.updateSum()
	return less, root
}

func merge(less, more *item) *item {
	if less == nil {
		return more
	}
	if more == nil {
		return less
	}
	if less.priority > more.priority {
		less.right = merge(less.right, more)
		less.updateSum()
		return less
	}
	more.left = merge(less, more.left)
	more.updateSum()
	return more
}

func remove(root, it *item) *item {
	if root == nil {
		return nil
	}
	if root == it {
		return merge(root.left, root.right)
	}
	if it.before(root) {
		root.left = remove(root.left, it)
	} else {
		root.right = remove(root.right, it)
	}
	root.updateSum()
	return root
}

// sumBefore returns the sums of the items before it.
func sumBefore(root, it *item) sums {
	var s sums
	for root != nil {
		if !root.before(it) {
			root = root.left
			continue
		}
		if root.left != nil {
			s = s.plus(root.left.sum)
		}
		s = s.plus(root.demand)
		root = root.right
	}
	return s
}

func first(root *item) *item {
	for root != nil && root.left != nil {
		root = root.left
	}
	return root
}

func last(root *item) *item {
	for root != nil && root.right != nil {
		root = root.right
	}
	return root
}

// each calls visit for the items in order.
func each(root *item, visit func(*item)) {
	if root == nil {
		return
	}
	each(root.left, visit)
	visit(root)
	each(root.right, visit)
}
