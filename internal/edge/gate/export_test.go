package gate

// Waits reports whether the connection of a caller waits for its next request, given the caller's address.
func (listener *Listener) Waits(address string) bool {
	listener.idle.mutex.Lock()
	defer listener.idle.mutex.Unlock()
	for element := listener.idle.waiting.Front(); element != nil; element = element.Next() {
		if conn, ok := element.Value.(*Conn); ok && conn.RemoteAddr().String() == address {
			return true
		}
	}
	return false
}
