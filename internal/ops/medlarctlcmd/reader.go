package medlarctlcmd

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/agree/medlaraudit"
	"medlarfield/internal/agree/medlarfollower"
	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/agree/medlarstate"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarlog"
)

// Timeouts of calls, and of idle connections.
const (
	callTimeout = 2 * time.Second
	idleTimeout = 30 * time.Second
)

// reader follows the lists stream for the duration of a command.
type reader struct {
	log      *medlarlog.Client
	state    *medlarstate.State
	caughtUp chan struct{} // closed once the end of the stream has been reached
	lastErr  chan error    // last read error
}

// open starts following the lists stream and returns once its end has been reached.
func (o *options) open(ctx context.Context) (*reader, error) {
	r := &reader{
		log:      medlarlog.New(medlarhttp.New(idleTimeout), o.address(), callTimeout),
		state:    medlarstate.New(),
		caughtUp: make(chan struct{}),
		lastErr:  make(chan error, 1),
	}
	f := medlarfollower.New(medlarfollower.Deps{
		Read: func(from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error) {
			return r.log.Read(medlarrecord.StreamLists, from, limit, wait)
		},
		Apply:       r.apply,
		OnGap:       r.state.Restart,
		OnRead:      r.onRead,
		OnReadError: r.onReadError,
	}, 1)
	go f.Run(ctx)
	select {
	case <-r.caughtUp:
	case <-ctx.Done():
		return nil, &Error{Op: OpRead, Kind: KindUnavailable, Err: r.lastError(ctx)}
	}
	if !r.state.View().Ready {
		return nil, &Error{Op: OpRead, Kind: KindUnavailable, Err: eris.New("the log holds no complete snapshot of the lists")}
	}
	return r, nil
}

func (r *reader) apply(e medlarlog.Entry) {
	if err := r.state.Apply(e); err != nil {
		r.state.Restart(e.Offset)
		_ = r.state.Apply(e)
	}
}

func (r *reader) onRead(caughtUp bool) {
	if !caughtUp {
		return
	}
	select {
	case <-r.caughtUp:
	default:
		close(r.caughtUp)
	}
}

func (r *reader) onReadError(err error) {
	select {
	case <-r.lastErr:
	default:
	}
	select {
	case r.lastErr <- err:
	default:
	}
}

// lastError returns the last read error, or the error of ctx if there was none.
func (r *reader) lastError(ctx context.Context) error {
	select {
	case err := <-r.lastErr:
		return err
	default:
		return ctx.Err()
	}
}

// readAudit reads the audit stream up to its end.
func (r *reader) readAudit() (*medlaraudit.Table, error) {
	t := &medlaraudit.Table{}
	from := medlarid.Offset(1)
	for {
		b, err := r.log.Read(medlaraudit.Stream, from, 512, 0)
		if err != nil {
			return nil, &Error{Op: OpRead, Kind: KindUnavailable, Err: err}
		}
		for _, e := range b.Records {
			t.Apply(e)
			from = e.Offset + 1
		}
		if len(b.Records) == 0 || from >= b.Next {
			return t, nil
		}
	}
}
