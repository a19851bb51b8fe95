package tomldoc

import "sort"

// lineIndex holds the offset of the start of each line.
type lineIndex []int

func newLineIndex(text []byte) lineIndex {
	starts := lineIndex{0}
	for i, c := range text {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

func (l lineIndex) pos(offset int) Pos {
	line := sort.Search(len(l), func(i int) bool { return l[i] > offset })
	return Pos{Line: line, Column: offset - l[line-1] + 1}
}
