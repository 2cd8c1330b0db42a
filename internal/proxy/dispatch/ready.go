package dispatch

// IsReady tells that there is a server to send to, as far as this node knows.
func (f *Dispatcher) IsReady() bool {
	f.mu.Lock()
	defer f.unlock()
	for id := range f.servers {
		if l, ok := f.view.Get(id); ok && l.IsUsable {
			return true
		}
	}
	return false
}
