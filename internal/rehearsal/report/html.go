package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed page.html
var page string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms":  func(d time.Duration) string { return d.Round(time.Millisecond).String() },
	"pct": func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) },
}).Parse(page))

// HTML writes the report as one self-contained page.
func (r *Report) HTML(path string) error {
	var plots []template.HTML
	for _, makePlot := range []func() (*plot.Plot, error){r.servicePlot, r.latencyPlot, r.attemptsPlot, r.connectionsPlot} {
		p, err := makePlot()
		if err != nil {
			return err
		}
		svg, err := r.svg(p)
		if err != nil {
			return err
		}
		plots = append(plots, svg)
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, struct {
		*Report
		Plots []template.HTML
	}{r, plots}); err != nil {
		return err
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

// svg draws a plot and returns it as an SVG element.
func (r *Report) svg(p *plot.Plot) (template.HTML, error) {
	p.X.Label.Text = "seconds since the start of the run"
	p.X.Min, p.X.Max = 0, r.Length.Seconds()
	p.Legend.Top = true
	c := vgsvg.New(16*vg.Centimeter, 6*vg.Centimeter)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", err
	}
	// The page is HTML, in which an XML declaration is an error.
	text := out.String()
	return template.HTML(text[max(0, strings.Index(text, "<svg")):]), nil
}

// addFaultBands shades the times of faults in the background of a plot that reaches up to top.
func (r *Report) addFaultBands(p *plot.Plot, top float64) error {
	for _, b := range r.Faults {
		x, y := b.From.Seconds(), max(b.To, b.From+200*time.Millisecond).Seconds() // a fault without duration is shown too
		band, err := plotter.NewPolygon(plotter.XYs{{X: x}, {X: y}, {X: y, Y: top}, {X: x, Y: top}})
		if err != nil {
			return err
		}
		band.Color, band.LineStyle.Width = color.NRGBA{230, 140, 90, 70}, 0
		p.Add(band)
	}
	return nil
}

func (r *Report) addLines(p *plot.Plot, curves map[string]func(Second) float64) error {
	top := 0.0
	series := map[string]plotter.XYs{}
	for name, at := range curves {
		for i, s := range r.Seconds[:max(1, len(r.Seconds)-1)] {
			y := at(s)
			top = max(top, y)
			series[name] = append(series[name], plotter.XY{X: float64(i) + 0.5, Y: y})
		}
	}
	if err := r.addFaultBands(p, top*1.05); err != nil {
		return err
	}
	for i, name := range slices.Sorted(maps.Keys(series)) {
		l, err := plotter.NewLine(series[name])
		if err != nil {
			return err
		}
		l.Color = plotutil.Color(i)
		p.Add(l)
		if len(series) <= maxLegendEntries {
			p.Legend.Add(name, l)
		}
	}
	p.Y.Min, p.Y.Max = 0, top*1.05+1e-9
	return nil
}

// maxLegendEntries is the largest number of names that leaves room for the lines in a plot.
const maxLegendEntries = 6

func (r *Report) servicePlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "billed value a second"
	return p, r.addLines(p, map[string]func(Second) float64{
		"asked": func(s Second) float64 { return s.Asked }, "in time": func(s Second) float64 { return s.Served },
		"rate-limited": func(s Second) float64 { return float64(s.Refused) }})
}

func (r *Report) latencyPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "milliseconds from the scheduled sending of a request"
	return p, r.addLines(p, map[string]func(Second) float64{
		"median": func(s Second) float64 { return s.P50.Seconds() * 1000 }, "p99": func(s Second) float64 { return s.P99.Seconds() * 1000 }})
}

func (r *Report) attemptsPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "attempts a second, by server"
	curves := map[string]func(Second) float64{}
	for _, x := range r.Servers {
		curves[x.Name] = func(s Second) float64 { return float64(s.Attempts[x.Name]) }
	}
	return p, r.addLines(p, curves)
}

func (r *Report) connectionsPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "connections opened a second, all servers"
	return p, r.addLines(p, map[string]func(Second) float64{"opened": func(s Second) float64 { return float64(s.Opened) }})
}
