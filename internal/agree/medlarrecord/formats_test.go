package medlarrecord

import (
	"os"
	"testing"

	"medlarfield/internal/stand/medlarfields"
)

// TestFieldsKeepTheirNumbers guards against a message that another build reads otherwise, since the number or the type of a
// field has changed. testdata/fields.txt has the fields of fb7fab7.
func TestFieldsKeepTheirNumbers(t *testing.T) {
	b, err := os.ReadFile("testdata/fields.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range medlarfields.Differences(File_record_proto.Messages(), string(b)) {
		t.Errorf("field %s was changed or removed", d)
	}
	if len(medlarfields.Differences(File_record_proto.Messages(), "Unknown 1 string a")) != 1 {
		t.Error("a message that is not there is no difference")
	}
}
