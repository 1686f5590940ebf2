package mtqueue

// The waiting requests of a lane form a treap in the order of their tags, each
// node with the sums of its subtree: entering, taking out and the sums ahead of
// a tag take time logarithmic in the waiting requests.

func (it *item) update() {
	it.sum = it.need
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
		it.update()
		return it
	}
	if it.rank > root.rank {
		it.left, it.right = split(root, it)
		it.update()
		return it
	}
	if it.before(root) {
		root.left = insert(root.left, it)
	} else {
		root.right = insert(root.right, it)
	}
	root.update()
	return root
}

// split parts a tree into what stands before it and the rest.
func split(root, it *item) (*item, *item) {
	if root == nil {
		return nil, nil
	}
	if root.before(it) {
		less, more := split(root.right, it)
		root.right = less
		root.update()
		return root, more
	}
	less, more := split(root.left, it)
	root.left = more
	root.update()
	return less, root
}

func merge(less, more *item) *item {
	if less == nil {
		return more
	}
	if more == nil {
		return less
	}
	if less.rank > more.rank {
		less.right = merge(less.right, more)
		less.update()
		return less
	}
	more.left = merge(less, more.left)
	more.update()
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
	root.update()
	return root
}

// ahead sums the items before it.
func ahead(root, it *item) sums {
	var s sums
	for root != nil {
		if !root.before(it) {
			root = root.left
			continue
		}
		if root.left != nil {
			s = s.plus(root.left.sum)
		}
		s = s.plus(root.need)
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

// each visits the items in order.
func each(root *item, visit func(*item)) {
	if root == nil {
		return
	}
	each(root.left, visit)
	visit(root)
	each(root.right, visit)
}
