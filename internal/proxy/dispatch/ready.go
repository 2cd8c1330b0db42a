package dispatch

// Ready tells that there is a server to send to, as far as this node knows.
func (f *Fleet) Ready() bool {
	f.mu.Lock()
	defer f.unlock()
	for id := range f.servers {
		if l, ok := f.book.Line(id); ok && l.Used {
			return true
		}
	}
	return false
}
