package explain

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"
)

//go:embed timeline.html
var timelineText string

var timelinePage = template.Must(template.New("timeline").Parse(timelineText))

const (
	plotHeight = 100.0
	pageTime   = "2006-01-02 15:04:05.000"
)

type plot struct {
	Name, Class string
	// Total and Most are the labels with the sum over all steps and the highest value.
	Total, Most string
	Bars        []plotBar
	Lines       []string
}

type plotBar struct {
	X         int
	Y, Height float64
	Title     string
}

type timelineData struct {
	Start, End, Step string
	Steps            int
	Read             Counts
	Plots            []plot
	Columns          []string
	Groups           []groupRow
}

type groupRow struct {
	Zone, Class string
	Counts      []int
}

// WritePage writes a timeline as one HTML page that loads no other file.
func (t *Timeline) WritePage(w io.Writer) error {
	d := timelineData{
		Start: t.Start.UTC().Format(pageTime), End: t.Start.Add(time.Duration(len(t.Steps)) * t.Step).UTC().Format(pageTime),
		Step: t.Step.String(), Steps: len(t.Steps), Read: t.Read,
	}
	for _, o := range Outcomes() {
		d.Plots = append(d.Plots, t.outcomePlot(o))
		if o <= Resumed {
			d.Columns = append(d.Columns, o.String())
		}
	}
	d.Plots = append(d.Plots, t.latencyPlot())
	for _, g := range t.Groups {
		d.Groups = append(d.Groups, groupRow{g.Zone, g.Class, g.Counts[:Resumed+1]})
	}
	return timelinePage.Execute(w, d)
}

// class returns the CSS class of an outcome.
func (o Outcome) class() string {
	switch o {
	case Answered, DependencyRegained, Started:
		return "fine"
	case Resumed, Refused:
		return "slow"
	default:
		return "fast"
	}
}

func (t *Timeline) outcomePlot(o Outcome) plot {
	total, most := 0, 0
	for i := range t.Steps {
		total, most = total+t.Steps[i].Counts[o], max(most, t.Steps[i].Counts[o])
	}
	p := plot{Name: o.String(), Class: o.class(), Total: fmt.Sprint(total), Most: fmt.Sprintf("%d at most in %v", most, t.Step)}
	for i := range t.Steps {
		n := t.Steps[i].Counts[o]
		if n == 0 {
			continue
		}
		height := plotHeight * float64(n) / float64(most)
		at := t.Start.Add(time.Duration(i) * t.Step).UTC().Format(pageTime)
		p.Bars = append(p.Bars, plotBar{i, plotHeight - height, height, fmt.Sprintf("%s: %d", at, n)})
	}
	return p
}

// latencyPlot draws the median and the p99; steps without an answer are drawn as zero.
func (t *Timeline) latencyPlot() plot {
	most := 1.0
	for i := range t.Steps {
		most = max(most, t.Steps[i].P99MS)
	}
	p := plot{Name: "time to the first event or the answer", Class: "slow", Total: "p50 and p99", Most: fmt.Sprintf("%.0f ms at most", most)}
	for _, value := range []func(*Step) float64{func(s *Step) float64 { return s.P50MS }, func(s *Step) float64 { return s.P99MS }} {
		var b strings.Builder
		for i := range t.Steps {
			fmt.Fprintf(&b, "%d.5,%.1f ", i, plotHeight*(1-value(&t.Steps[i])/most))
		}
		p.Lines = append(p.Lines, b.String())
	}
	return p
}
