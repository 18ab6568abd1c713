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

// Times of reading.
const (
	callTimeout = 2 * time.Second
	idleTimeout = 30 * time.Second
)

// reader follows the lists stream for the time of a command.
type reader struct {
	log    *medlarlog.Client
	state  *medlarstate.State
	caught chan struct{} // closed when the end of the stream was reached
	last   chan error    // last failure
}

// open follows the lists stream and returns when its end was reached.
func (o *options) open(ctx context.Context) (*reader, error) {
	r := &reader{
		log:    medlarlog.New(medlarhttp.New(idleTimeout), o.address(), callTimeout),
		state:  medlarstate.New(),
		caught: make(chan struct{}),
		last:   make(chan error, 1),
	}
	f := medlarfollower.New(medlarfollower.Callbacks{
		Read: func(from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error) {
			return r.log.Read(medlarrecord.StreamLists, from, limit, wait)
		},
		Apply:       r.apply,
		OnGap:       r.state.Restart,
		OnRead:      r.onCaught,
		OnReadError: r.onFailed,
	}, 1)
	go f.Run(ctx)
	select {
	case <-r.caught:
	case <-ctx.Done():
		return nil, &Error{Op: OpRead, Kind: KindUnavailable, Err: r.cause(ctx)}
	}
	if !r.state.View().Ready {
		return nil, &Error{Op: OpRead, Kind: KindUnavailable, Err: eris.New("the log holds no whole snapshot of the lists")}
	}
	return r, nil
}

func (r *reader) apply(e medlarlog.Entry) {
	if err := r.state.Apply(e); err != nil {
		r.state.Restart(e.Offset)
		_ = r.state.Apply(e)
	}
}

func (r *reader) onCaught(caught bool) {
	if !caught {
		return
	}
	select {
	case <-r.caught:
	default:
		close(r.caught)
	}
}

func (r *reader) onFailed(err error) {
	select {
	case <-r.last:
	default:
	}
	select {
	case r.last <- err:
	default:
	}
}

// cause returns the last failure, or why ctx ended.
func (r *reader) cause(ctx context.Context) error {
	select {
	case err := <-r.last:
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
