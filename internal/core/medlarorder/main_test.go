package medlarorder

import (
	"os"
	"testing"

	"medlarfield/internal/stand/medlarseed"
)

// cases is the number of random cases per property test.
const cases = 200

func TestMain(m *testing.M) { os.Exit(medlarseed.Run(m, cases)) }
