// Package medlarreservation keeps loopback addresses for stand-ins that stop listening for a while.
package medlarreservation

import (
	"net/netip"

	"golang.org/x/sys/unix"

	"medlarfield/internal/base/medlarid"
)

// Reservation is a socket that is bound to an address and does not listen: connections to the address are refused, and
// the system gives its port to nobody.
type Reservation struct{ fd int }

// New reserves an address, an IP address and a port, which may be in use by connections but not by a listener.
func New(at medlarid.Address) (*Reservation, error) {
	addr, err := netip.ParseAddrPort(string(at))
	if err != nil {
		return nil, err
	}
	family, socket := unix.AF_INET6, unix.Sockaddr(&unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()})
	if addr.Addr().Is4() {
		family, socket = unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	r := &Reservation{fd: fd}
	// Connections of a listener that has just stopped still use the address.
	err = r.Share(true)
	if err == nil {
		err = unix.Bind(fd, socket)
	}
	if err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// Share sets whether a listener may take the reserved address, as it may at first, or is told that it is in use. It
// does nothing to a listener that has the address.
func (r *Reservation) Share(shared bool) error {
	reuse := 0
	if shared {
		reuse = 1
	}
	return unix.SetsockoptInt(r.fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, reuse)
}

// Close releases the address.
func (r *Reservation) Close() { _ = unix.Close(r.fd) }
