package medlarslope

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Layout of the sheet of plots.
const (
	columns    = 3
	tileWidth  = 9 * vg.Centimeter
	tileHeight = 6 * vg.Centimeter
	tilePad    = 6 * vg.Millimeter
)

// WritePlots writes an SVG image with one plot for each series.
func WritePlots(w io.Writer, series []Series) error {
	rows := (len(series) + columns - 1) / columns
	c := vgsvg.New(columns*tileWidth, vg.Length(rows)*tileHeight)
	grid := make([][]*plot.Plot, rows)
	for i := range grid {
		grid[i] = make([]*plot.Plot, columns)
	}
	for i, s := range series {
		p, err := newPlot(s)
		if err != nil {
			return err
		}
		grid[i/columns][i%columns] = p
	}
	tiles := draw.Tiles{Rows: rows, Cols: columns, PadX: tilePad, PadY: tilePad, PadTop: tilePad, PadBottom: tilePad, PadLeft: tilePad, PadRight: tilePad}
	canvases := plot.Align(grid, tiles, draw.New(c))
	for i := range grid {
		for j, p := range grid[i] {
			if p != nil {
				p.Draw(canvases[i][j])
			}
		}
	}
	_, err := c.WriteTo(w)
	return err
}

func newPlot(s Series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.Role + ": " + s.Quantity
	p.Title.TextStyle.Font.Size = vg.Points(8)
	p.X.Label.Text = s.Parameter
	p.X.Min, p.Y.Min = 0, 0
	points := make(plotter.XYs, len(s.Points))
	for i, v := range s.Points {
		points[i].X, points[i].Y = v.X, v.Y
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return nil, err
	}
	p.Add(line, dots)
	p.Y.Max = max(p.Y.Max, 1e-9)
	return p, nil
}
