package trials

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Header is the heading of the Markdown table whose rows come from Row.
const Header = "| deployment | scenario | control | deeds, share of best | all, share of best (spread) | recovery s |" +
	" lowest after | wasted | attempts | p99 ms deed |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"

// Row returns the table row for the runs of one scenario and control mode: the figures of the median run, and the lowest
// and highest total share of all runs.
func Row(runs []Result) string {
	m := Median(runs)
	low, high := m.TotalShare, m.TotalShare
	for _, r := range runs {
		low, high = min(low, r.TotalShare), max(high, r.TotalShare)
	}
	p99 := 0.0
	for _, c := range m.Classes {
		if c.Name == nonIdempotentClass {
			p99 = c.P99Ms
		}
	}
	return fmt.Sprintf("| %s | %s | %s | %.2f | %.2f (%.2f-%.2f) | %.1f | %.2f | %.3f | %.2f | %.0f |",
		m.Deployment, m.Scenario, m.Control, m.NonIdempotentShare, m.TotalShare, low, high, m.RecoveryS,
		m.LowestServedAfter, m.WastedFraction, m.AttemptsPerRequest, p99)
}

const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 6 * vg.Inch
)

// Plot writes a plot of goodput over time, with one line for each result, to the file name, whose ending gives the format.
func Plot(results []Result, name string) error {
	p := plot.New()
	p.Title.Text = "whole answers a second"
	p.X.Label.Text = "seconds"
	p.Legend.Top = true
	for i, r := range results {
		points := make(plotter.XYs, 0, len(r.Timeline))
		for j, n := range r.Timeline {
			points = append(points, plotter.XY{X: float64(j) * interval.Seconds(), Y: float64(n) / interval.Seconds()})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Deployment+" "+r.Scenario+" "+r.Control, line)
	}
	if err := p.Save(plotWidth, plotHeight, name); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
