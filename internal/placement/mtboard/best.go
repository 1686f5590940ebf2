package mtboard

import "slices"

// keepBest puts an item in its place of a list in order, of which at most so many are
// kept.
func keepBest[T any](list []T, item T, most int, compare func(a, b T) int) []T {
	at, _ := slices.BinarySearchFunc(list, item, compare)
	if at >= most {
		return list
	}
	list = slices.Insert(list, at, item)
	return list[:min(len(list), most)]
}
