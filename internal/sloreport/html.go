package sloreport

import (
	_ "embed"
	"html/template"
	"io"
	"time"

	"heatherway.dev/core/slo"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": percent, "rate": rate, "latency": latency, "causes": causes, "name": name,
	"rowsOf": rowsOf, "budget": budgetPlot, "burn": burnPlot, "histogram": histogramPlot,
	"levelClass": levelClass,
}).Parse(pageText))

type pageData struct {
	At      string
	Report  slo.Report
	Shown   []slo.Row
	Left    int
	Windows [slo.WindowCount]string
}

// tableData is the input of the template "table".
type tableData struct {
	Windows [slo.WindowCount]string
	Rows    []slo.Row
}

func rowsOf(windows [slo.WindowCount]string, rows []slo.Row) tableData {
	return tableData{windows, rows}
}

func writeHTML(w io.Writer, r slo.Report) error {
	d := pageData{At: at(r), Report: r}
	d.Shown, d.Left = firstOrganisations(r)
	for i := range d.Windows {
		d.Windows[i] = slo.WindowName(i)
	}
	return page.Execute(w, d)
}

// levelClass returns the CSS class of an alert level.
func levelClass(l slo.Level) string {
	switch l {
	case slo.FastBurn:
		return "fast"
	case slo.SlowBurn:
		return "slow"
	default:
		return "fine"
	}
}

// Sizes of the plots in SVG units. On a phone's screen a unit is about one CSS
// pixel.
const (
	plotWidth  = 320.0
	labelWidth = 48.0
	valueWidth = 48.0
	barWidth   = plotWidth - labelWidth - valueWidth
	rowHeight  = 22.0
	barHeight  = 14.0
	histHeight = 90.0
)

// bar is a rectangle of a plot with its label and value.
type bar struct {
	X, Y, Width, Height float64
	Label, Value, Class string
}

// markLine is a vertical line across a plot.
type markLine struct {
	X     float64
	Label string
	// After puts the label to the right of the line, for lines that leave no room
	// for it on the left.
	After bool
}

func newMarkLine(x float64, label string) markLine { return markLine{x, label, x < labelWidth} }

type plot struct {
	Height float64
	Bars   []bar
	Marks  []markLine
}

func budgetPlot(r slo.Row) plot {
	left := min(max(r.BudgetLeft, 0), 1)
	return plot{Height: rowHeight, Bars: []bar{{
		X: labelWidth, Width: left * barWidth, Height: barHeight,
		Label: "left", Value: percent(r.BudgetLeft), Class: levelClass(r.Level),
	}}}
}

// minBurnScale is the burn rate at the right end of a plot whose rates are all
// lower.
const minBurnScale = 2

func burnPlot(r slo.Row) plot {
	top := float64(minBurnScale)
	for _, b := range r.Burn {
		top = max(top, b)
	}
	p := plot{Height: slo.WindowCount * rowHeight, Marks: []markLine{{X: labelWidth + barWidth/top}}}
	for i, b := range r.Burn {
		class := "fine"
		if b > 1 {
			class = "fast"
		}
		p.Bars = append(p.Bars, bar{
			X: labelWidth, Y: float64(i) * rowHeight, Width: b / top * barWidth, Height: barHeight,
			Label: slo.WindowName(i), Value: rate(b), Class: class,
		})
	}
	return p
}

// ticks label the time axis of a latency plot.
var ticks = []time.Duration{
	time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond,
	time.Second, 10 * time.Second, 100 * time.Second, 1000 * time.Second,
}

// histogramPlot draws all buckets with the same width. Their bounds grow
// exponentially, so that the time axis is logarithmic.
func histogramPlot(r slo.Row) plot {
	first, last, top := bucketRange(&r.Latency)
	width := plotWidth / float64(last-first+1)
	p := plot{Height: histHeight}
	for i := first; i <= last; i++ {
		h := 0.0
		if top > 0 {
			h = float64(r.Latency[i]) / float64(top) * histHeight
		}
		class := "fine"
		if t := r.Objective.Target; t > 0 && slo.BucketBound(i) > t {
			class = "fast"
		}
		p.Bars = append(p.Bars, bar{X: float64(i-first) * width, Y: histHeight - h, Width: width * 0.9, Height: h, Class: class})
	}
	for _, t := range ticks {
		if i := bucketIndex(t); i >= first && i <= last {
			p.Marks = append(p.Marks, newMarkLine(float64(i-first+1)*width, latency(t)))
		}
	}
	return p
}

// minBuckets is the least number of buckets beyond the first that a plot has
// room for, so that a single bar doesn't fill its whole width.
const minBuckets = 16

// bucketRange returns the first and last bucket to draw and the highest count.
func bucketRange(h *slo.Histogram) (first, last int, top uint64) {
	first = slo.BucketCount
	for i, n := range h {
		if n > 0 {
			first, last, top = min(first, i), i, max(top, n)
		}
	}
	first = min(first, last)
	last = min(max(last, first+minBuckets), slo.BucketCount-1)
	return first, last, top
}

func bucketIndex(d time.Duration) int {
	i := 0
	for i < slo.BucketCount-1 && slo.BucketBound(i) < d {
		i++
	}
	return i
}
