package medlarshare

import (
	"os"
	"testing"

	"medlarfield/internal/stand/medlarseed"
)

// cases is the number of generated cases of each property-based test.
const cases = 200

func TestMain(m *testing.M) { os.Exit(medlarseed.Run(m, cases)) }
