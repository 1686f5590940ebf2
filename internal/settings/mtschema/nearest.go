package mtschema

import "google.golang.org/protobuf/reflect/protoreflect"

// nearest returns the field name with the fewest edits from the given word.
func nearest(word string, fields protoreflect.FieldDescriptors) string {
	best, least := "", len(word)+1
	for i := range fields.Len() {
		name := string(fields.Get(i).Name())
		if d := edits(word, name); best == "" || d < least {
			best, least = name, d
		}
	}
	return best
}

// edits is the Levenshtein distance.
func edits(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal = row[j+1]
			row[j+1] = next
		}
	}
	return row[len(b)]
}
