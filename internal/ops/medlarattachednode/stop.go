package medlarattachednode

import (
	"time"

	"medlarfield/internal/core/medlarworld"
)

// Times of a graceful stop.
const (
	stopMargin   = 700 * time.Millisecond // between its end and the kill
	stopPoll     = 20 * time.Millisecond  // between checks for open connections
	readMargin   = 500 * time.Millisecond // from the close of the listener until requests that are read are refused (R3)
	startMargin  = time.Second            // before its end, from which on no attempt begins (R3)
	answerMargin = 250 * time.Millisecond // before its end, when requests in progress get an answer (R3)
)

// stop stops the instance gracefully (R2).
func (i *Instance) stop() {
	begin := time.Now()
	end := begin.Add(i.cfg.Bounds.GracePeriod.Std() - stopMargin)
	i.stopping.Store(true)
	i.server.Drain()
	i.notifier.Announce(nil)
	i.log.Info().Str("event", "stop").Int("open", i.server.ActiveConns()).Msg("stopping")
	defer i.endRequests(begin, end)()
	time.Sleep(i.cfg.Bounds.DeregistrationDelay.Std())
	_ = i.listener.Close()
	i.dialer.Server().Stop()
	for i.server.CloseIdle(); i.server.OpenConns()+i.dialer.Server().Open() > 0 && time.Now().Before(end); i.server.CloseIdle() {
		time.Sleep(stopPoll)
	}
	_ = i.statusListener.Close()
	i.socket.Close()
	i.dialer.Server().Close()
	i.log.Info().Str("event", "stopped").Int("cut", i.server.ActiveConns()).Dur("took", time.Since(begin)).Msg("stopped")
}

// endRequests makes the requests that cannot be answered until the end of a stop be refused, or fail, in time (R3). The
// returned function ends that.
func (i *Instance) endRequests(begin, end time.Time) (cancel func()) {
	refuse := begin.Add(i.cfg.Bounds.DeregistrationDelay.Std() + readMargin)
	timers := []*time.Timer{
		time.AfterFunc(time.Until(refuse), func() { i.loop.Post(medlarworld.StopRequested{}) }),
		time.AfterFunc(time.Until(end.Add(-startMargin)), func() { i.loop.Post(medlarworld.StopRequested{Near: true}) }),
		time.AfterFunc(time.Until(end.Add(-answerMargin)), i.proxy.EndAttempts),
	}
	return func() {
		for _, t := range timers {
			t.Stop()
		}
	}
}
