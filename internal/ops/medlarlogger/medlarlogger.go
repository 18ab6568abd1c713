// Package medlarlogger writes log lines: one JSON object for each change of
// state. What happens often is counted and not logged.
package medlarlogger

import (
	"io"

	"github.com/rs/zerolog"

	"medlarfield/internal/base/medlarid"
)

// New returns a logger for an instance at a level of "debug", "info", "warn" or
// "error"; any other level is "info".
func New(w io.Writer, level string, name medlarid.InstanceID, zone medlarid.Zone) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("instance", string(name)).Str("zone", string(zone)).Logger()
}
