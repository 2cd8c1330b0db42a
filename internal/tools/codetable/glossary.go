package main

import "strings"

// word is a row of the glossary: a coined word and the forms under which its uses are counted.
type word struct {
	coined string
	forms  []string
}

// parseGlossary returns the table rows of the page whose first cell consists of a word, or a word and its forms, in backquotes.
func parseGlossary(page string) (words []word) {
	for line := range strings.Lines(page) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 || strings.TrimSpace(cells[0]) != "" {
			continue
		}
		if forms := formsOf(cells[1]); len(forms) > 0 {
			words = append(words, word{coined: forms[0], forms: forms})
		}
	}
	return words
}

// formsOf returns the words in a cell, or none if the cell contains anything else.
func formsOf(cell string) (forms []string) {
	for form := range strings.SplitSeq(cell, ",") {
		form = strings.TrimSpace(form)
		plain := strings.Trim(form, "`")
		if plain == "" || form != "`"+plain+"`" || strings.Join(wordsOf(plain), "") != plain {
			return nil
		}
		forms = append(forms, plain)
	}
	return forms
}

// wordsOf splits an identifier at characters other than letters and at changes of case: "newHTTPHop2" yields new, http and hop.
func wordsOf(identifier string) (parts []string) {
	start := 0
	endPart := func(end int) {
		if end > start {
			parts = append(parts, strings.ToLower(identifier[start:end]))
		}
		start = end
	}
	for i := range len(identifier) {
		c := identifier[i]
		if !isLetter(c) {
			endPart(i)
			start = i + 1
			continue
		}
		if i == start || !isUpper(c) {
			continue
		}
		followedByLower := i+1 < len(identifier) && isLetter(identifier[i+1]) && !isUpper(identifier[i+1])
		if !isUpper(identifier[i-1]) || followedByLower {
			endPart(i)
		}
	}
	endPart(len(identifier))
	return parts
}

func isUpper(c byte) bool  { return 'A' <= c && c <= 'Z' }
func isLetter(c byte) bool { return isUpper(c) || 'a' <= c && c <= 'z' }
