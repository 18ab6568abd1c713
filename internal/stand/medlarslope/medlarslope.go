// Package medlarslope measures how state, messages, processor time and memory of
// each role of an instance grow, and writes a table and plots.
//
// Rules:
//
//	R1  Each series has at least four sizes, up to the one to come where that fits
//	    under half of the machine's memory.
//	R2  What is written is what was measured: a slope is the ratio of the two
//	    largest sizes, so that a bend shows.
package medlarslope

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Point is one measurement.
type Point struct {
	X float64
	Y float64
}

// Series is how one quantity of one role grows.
type Series struct {
	Role     string
	Quantity string // what was measured, with its unit
	Over     string // what grows
	Points   []Point
}

// Slope returns the growth of the quantity for each unit between the two largest
// sizes, and between the two smallest.
func (s Series) Slope() (last, first float64) {
	n := len(s.Points)
	return ratio(s.Points[n-2], s.Points[n-1]), ratio(s.Points[0], s.Points[1])
}

func ratio(a, b Point) float64 { return (b.Y - a.Y) / (b.X - a.X) }

// measure is one series to be made.
type measure struct {
	role     string
	quantity string
	over     string
	sizes    []int
	run      func(size int) (float64, error)
}

// measures lists all series.
func measures() []measure {
	var all []measure
	for _, list := range [][]measure{coreMeasures(), agreeMeasures(), peerMeasures()} {
		all = append(all, list...)
	}
	return all
}

// Run makes all measurements and reports each as it is done.
func Run(progress io.Writer) ([]Series, error) {
	var out []Series
	for _, m := range measures() {
		s := Series{Role: m.role, Quantity: m.quantity, Over: m.over}
		for _, size := range m.sizes {
			y, err := m.run(size)
			if err != nil {
				return nil, eris.Wrapf(err, "%s, %s at %d", m.role, m.quantity, size)
			}
			s.Points = append(s.Points, Point{float64(size), y})
		}
		_, _ = fmt.Fprintln(progress, row(s))
		out = append(out, s)
	}
	return out, nil
}

// WriteTable writes the series as a page.
func WriteTable(w io.Writer, series []Series) {
	_, _ = fmt.Fprintf(w, "# Slopes\n\nWritten by `go run ./cmd/medlarstand slopes --out docs`, which makes the measurements anew. %s, %d processors, %s.\n\n"+
		"The last two columns are the growth for each unit between the two smallest and between the two largest sizes; where\n"+
		"they differ the slope bends.\n\n![plots](slopes.svg)\n\n", runtime.Version(), runtime.NumCPU(), time.Now().UTC().Format(time.DateOnly))
	_, _ = fmt.Fprintln(w, "| role | quantity | over | measured | slope, small | slope, large |\n| --- | --- | --- | --- | --- | --- |")
	for _, s := range series {
		_, _ = fmt.Fprintln(w, row(s))
	}
}

func row(s Series) string {
	var points []string
	for _, p := range s.Points {
		points = append(points, fmt.Sprintf("%s: %s", number(p.X), number(p.Y)))
	}
	last, first := s.Slope()
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s |", s.Role, s.Quantity, s.Over, strings.Join(points, "; "), number(first), number(last))
}

// number writes three digits.
func number(f float64) string {
	switch a := max(f, -f); {
	case a >= 1000:
		return fmt.Sprintf("%.0f", f)
	case a >= 1:
		return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.2f", f), "0"), ".")
	default:
		return fmt.Sprintf("%.3g", f)
	}
}
