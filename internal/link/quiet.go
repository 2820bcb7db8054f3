package link

import (
	"syscall"
)

// quiet reports whether an idle connection has neither been closed by the
// endpoint nor received bytes that nobody asked for.
func quiet(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	holder, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, readErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && waiting
}
