package medlarattachednode

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/agree/medlarnotice"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/ops/medlardialer"
	"medlarfield/internal/ops/medlarnotifier"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/peer/medlardatagram"
	"medlarfield/platform"
	"medlarfield/platform/medlarcalls"
)

func newBoard(s *medlarcalls.Store, log zerolog.Logger, m *medlarmetric.Metrics) *medlarnotice.Board {
	return medlarnotice.New(medlarnotice.Deps{
		Append: func(records []medlarnotice.Record) (medlarid.Offset, error) {
			return s.AppendKeyed(medlarplatform.TopicNotices, records)
		},
		AppendAt: func(at medlarid.Offset, r medlarnotice.Record) error {
			return s.AppendKeyedAt(medlarplatform.TopicNotices, at, r)
		},
		Read: func(from medlarid.Offset) (records []medlarnotice.Record, end medlarid.Offset, err error) {
			b, err := readNotices(s, from)
			for _, r := range b.Records {
				records = append(records, medlarnotice.Record{Key: r.Key, Value: r.Value})
			}
			return records, b.NextOffset, err
		},
		OnError: func(err error) {
			m.CallFailed(medlarplatform.TopicNotices)
			log.Warn().Str("event", "notice").Err(err).Msg("notice to the other instances cannot be written")
		},
	})
}

// callPeers is the name of datagrams in the metric of failed calls.
const callPeers = "peers"

func newSocket(cfg medlarsettings.Attached, m *medlarmetric.Metrics, board *medlarnotice.Board, key peerKey) *medlardatagram.Socket {
	s := medlardatagram.New(medlardatagram.Deps{
		Self: cfg.Name, Zone: cfg.Zone, Key: key.socketKey(),
		OnForgotten: func(id medlarid.InstanceID) { board.Put(medlarnotice.RemovePeer(id)) },
		OnIgnored:   func(error) { m.CallFailed(callPeers) },
	})
	m.RegisterLoad(s.SumAge, s.Datagrams)
	return s
}

func newNotifier(cfg medlarsettings.Attached, log zerolog.Logger, m *medlarmetric.Metrics, s *medlarcalls.Store, board *medlarnotice.Board, socket *medlardatagram.Socket,
	d *medlardialer.Dialer,
) *medlarnotifier.Notifier {
	return medlarnotifier.New(medlarnotifier.Deps{
		Self: cfg.Name, Log: log, Metrics: m, Board: board, Socket: socket, Dialer: d,
		Read: func() ([]medlarfeed.Record, error) {
			end, ok := board.End()
			if !ok {
				return nil, errUnread
			}
			b, err := readNotices(s, end)
			return b.Records, err
		},
		Spread:     time.Duration(cfg.Rank() % int(restoreSpread)),
		CallFailed: func() { m.CallFailed(medlarplatform.TopicNotices) },
	})
}

// readNotices returns the notices from an offset on.
func readNotices(s *medlarcalls.Store, from medlarid.Offset) (medlarfeed.Batch, error) {
	b, err := s.Follow(medlarplatform.TopicNotices, from, medlarfeed.ReadOptions{})
	if err == nil && b.Truncated {
		err = errUnread
	}
	return b, err
}

// errUnread reports that the topic of notices has to be read anew first.
var errUnread = eris.New("topic of notices is not read yet, or its records are truncated")
