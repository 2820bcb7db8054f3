package link

import (
	"syscall"
)

// usable reports whether an idle connection is still open and has no unread bytes.
// It peeks at the socket without blocking: only EAGAIN means both.
func usable(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, readErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && wouldBlock
}
