package medlarattachednode

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarid"
)

// listenInterval is the interval at which an address that is in use is tried again.
const listenInterval = 100 * time.Millisecond

// listen opens a listener. An address that is in use is tried again for bounds.grace: the earlier process of the
// instance may take that long to end, or a connection of another process may have got the port for a moment.
func (i *Instance) listen(what string, at medlarid.Address) (net.Listener, error) {
	begin := time.Now()
	for first := true; ; first = false {
		ln, err := net.Listen("tcp", string(at))
		if err == nil {
			return ln, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(begin) > i.cfg.Bounds.GracePeriod.Std() {
			return nil, eris.Wrap(err, "listen for "+what)
		}
		if first {
			i.log.Warn().Str("event", "listener").Str("listener", what).Err(err).Msg("address is in use; trying again until bounds.grace is over")
		}
		time.Sleep(listenInterval)
	}
}
