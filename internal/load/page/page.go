package page

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"cometrack/internal/load"
)

// Size of a plot.
const width, height = 22 * vg.Centimeter, 9 * vg.Centimeter

// colors are those of the lines of a plot, in their order.
var colors = []color.Color{color.RGBA{0x1f, 0x77, 0xb4, 0xff}, color.RGBA{0xd6, 0x27, 0x28, 0xff}, color.RGBA{0x2c, 0xa0, 0x2c, 0xff}, color.RGBA{0x80, 0x80, 0x80, 0xff}}

// line is one named line of a plot.
type line struct {
	name   string
	points plotter.XYs
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right}
th{border-bottom:1px solid #888}.bad{color:#b00;font-weight:bold}svg{max-width:100%;height:auto}</style>
<h1>{{.Title}}</h1>
{{if not .Report.Valid}}<p class="bad">Not valid: {{.Report.Reason}}</p>{{end}}
{{if .Report.Dropped}}<p class="bad">The system fell behind: {{.Report.Dropped}} messages were due while too many were unanswered.</p>{{end}}
{{with .Report.Account}}<p>{{.Sent}} handed in, {{.Accepted}} accepted, {{.Refused}} refused, {{.Unknown}} without an answer;
{{.Delivered}} delivered, {{.Returned}} returned, {{.Failed}} failed, {{.Open}} without an end.</p>{{end}}
{{range .Report.Faults}}<p class="bad">Message {{.N}}: {{.What}}</p>{{end}}
{{range .Plots}}{{.}}{{end}}
<h2>Latencies in ms, from when messages were due</h2>
<table><tr><th></th><th></th><th></th><th>count</th><th>mean</th><th>p50</th><th>p90</th><th>p99</th><th>p99.9</th><th>longest</th></tr>
{{range .Rows}}<tr><td>{{.What}}</td><td>{{.S.By}}</td><td>{{.S.Name}}</td><td>{{.S.Count}}</td>{{range .MS}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
</html>
`))

// row is a row of the table of latencies.
type row struct {
	What string
	S    load.Summary
	MS   []string // mean, percentiles and maximum in milliseconds
}

// Write writes the report as an HTML page.
func Write(out io.Writer, title string, r *load.Report) error {
	data := struct {
		Title  string
		Report *load.Report
		Plots  []template.HTML
		Rows   []row
	}{Title: title, Report: r}
	addRows := func(what string, list []load.Summary) {
		for _, s := range list {
			x := row{What: what, S: s}
			for _, us := range []float64{s.Mean, s.P50, s.P90, s.P99, s.P999, s.Max} {
				x.MS = append(x.MS, fmt.Sprintf("%.2f", us/1e3))
			}
			data.Rows = append(data.Rows, x)
		}
	}
	addRows("accepted", r.Accepted)
	addRows("delivered", r.Delivered)
	addRows("generator", []load.Summary{r.Lateness})
	for _, plotOf := range []func(*load.Report) (*plot.Plot, error){percentiles, rates, unanswered} {
		chart, err := plotOf(r)
		if err != nil {
			return fmt.Errorf("page: %w", err)
		}
		svg, err := svgOf(chart)
		if err != nil {
			return fmt.Errorf("page: %w", err)
		}
		data.Plots = append(data.Plots, svg)
	}
	return pageTemplate.Execute(out, data)
}

// svgOf renders a plot as an SVG element.
func svgOf(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	if i := bytes.Index(b.Bytes(), []byte("<svg")); i > 0 { // without the XML declaration
		b.Next(i)
	}
	return template.HTML(b.String()), nil // safe: the library generates it from numbers and fixed texts only
}

// chart returns a plot of lines with a legend.
func chart(title, x, y string, lines []line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Add(plotter.NewGrid())
	p.Legend.Top, p.Legend.Left = true, true
	for i, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		draw, err := plotter.NewLine(l.points)
		if err != nil {
			return nil, err
		}
		draw.Color, draw.Width = colors[i%len(colors)], vg.Points(1.5)
		p.Add(draw)
		p.Legend.Add(l.name, draw)
	}
	return p, nil
}

// percentileTicks are the ticks of the percentile axis. Its scale is logarithmic in the
// remaining part: with each unit a tenth of the remaining messages is left.
type percentileTicks struct{}

func (percentileTicks) Ticks(_, _ float64) (out []plot.Tick) {
	for _, q := range []float64{0, 50, 90, 99, 99.9, 99.99} {
		out = append(out, plot.Tick{Value: percentileX(q), Label: fmt.Sprintf("%g%%", q)})
	}
	return out
}

// percentileX returns the position of a percentage on the percentile axis.
func percentileX(percent float64) float64 { return -math.Log10(max(1-percent/100, 1e-5)) }

// percentiles plots latencies by percentile, with logarithmic axes.
func percentiles(r *load.Report) (*plot.Plot, error) {
	var lines []line
	for _, c := range r.Curves {
		l := line{name: c.Name}
		for _, x := range c.Points {
			l.points = append(l.points, plotter.XY{X: percentileX(x.Percent), Y: max(x.Micros, 1) / 1e3})
		}
		lines = append(lines, l)
	}
	p, err := chart("Latency from when messages were due", "percentile", "ms", lines)
	if err != nil {
		return nil, err
	}
	p.X.Tick.Marker, p.X.Min, p.X.Max = percentileTicks{}, 0, 5
	if len(lines) > 0 {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	return p, nil
}

// series returns a line of a figure by second.
func series(r *load.Report, name string, of func(w load.Window) float64) line {
	l := line{name: name}
	for i, w := range r.Windows {
		l.points = append(l.points, plotter.XY{X: float64(i), Y: of(w)})
	}
	return l
}

// rates plots the messages due, accepted, delivered and not accepted in each second.
func rates(r *load.Report) (*plot.Plot, error) {
	return chart("Messages of each second", "due, s", "messages", []line{
		series(r, "due", func(w load.Window) float64 { return float64(w.Due) }),
		series(r, "refused or unanswered", func(w load.Window) float64 { return float64(w.Refused + w.Unanswered) }),
		series(r, "accepted", func(w load.Window) float64 { return float64(w.Accepted) }),
		series(r, "delivered", func(w load.Window) float64 { return float64(w.Delivered) })})
}

// unanswered plots the unanswered messages and the longest latency of acceptance in each second.
func unanswered(r *load.Report) (*plot.Plot, error) {
	return chart("In flight, and the longest wait", "due, s", "messages; ms", []line{
		series(r, "unanswered at once", func(w load.Window) float64 { return float64(w.InFlight) }),
		series(r, "longest wait, ms", func(w load.Window) float64 { return float64(w.Worst.Microseconds()) / 1e3 })})
}
