package conns

import (
	"errors"
	"net"
	"syscall"
)

// isReusable reports whether an idle connection is open and has no unread bytes: unread bytes or the end of the
// stream would be taken for the next answer.
func isReusable(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	drained := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		drained = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && drained
}

// pendingError returns the error of a connection that no call has returned yet.
func pendingError(c net.Conn) error {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	var number int
	var failure error
	err = control.Control(func(fd uintptr) {
		number, failure = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	if err == nil && failure == nil && number != 0 {
		failure = syscall.Errno(number)
	}
	return errors.Join(err, failure)
}

// setUserTimeout limits how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, unackedTimeoutMS)
	})
	return errors.Join(err, failure)
}
