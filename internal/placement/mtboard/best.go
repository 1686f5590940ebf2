package mtboard

import "slices"

// insertBounded inserts an item into a sorted list that keeps at most limit items.
func insertBounded[T any](list []T, item T, limit int, compare func(a, b T) int) []T {
	at, _ := slices.BinarySearchFunc(list, item, compare)
	if at >= limit {
		return list
	}
	list = slices.Insert(list, at, item)
	return list[:min(len(list), limit)]
}
