// Package scale measures how the cost of each role grows with size, and computes
// from these slopes what a deployment of a given size needs.
//
// # Usage
//
//	slopes := scale.Measure(scale.Slopes())
//	rows := scale.Rows(slopes, scale.TwoYears())
//
// A slope is measured at three or more sizes and fitted by a straight line; its
// error is the largest distance of a measured point from the line, relative to
// the point.
package scale

import (
	"math"
)

// Slope describes a cost that grows with a size, and how to measure it.
type Slope struct {
	Name    string
	Unit    string // of the cost
	Per     string // what the size counts
	Sizes   []int
	Measure func(size int) float64
}

// Line is the straight line fitted to a slope: cost = Base + PerUnit·size.
type Line struct {
	Slope   Slope
	Points  []float64 // measured cost of each of the slope's sizes
	Base    float64
	PerUnit float64
	Error   float64 // largest relative distance of a point from the line
}

// At returns the cost at a size.
func (l Line) At(size float64) float64 {
	return l.Base + l.PerUnit*size
}

// Lines maps the name of a slope to its fitted line.
type Lines map[string]Line

// Measure measures slopes one after another and fits a line to each.
func Measure(slopes []Slope) Lines {
	lines := Lines{}
	for _, s := range slopes {
		line := Line{Slope: s}
		for _, size := range s.Sizes {
			line.Points = append(line.Points, s.Measure(size))
		}
		line.fit()
		lines[s.Name] = line
	}
	return lines
}

// fit minimises the squared relative distances, so that small sizes count as much
// as large ones.
func (l *Line) fit() {
	var sw, sx, sy, sxx, sxy float64
	for i, size := range l.Slope.Sizes {
		x, y := float64(size), l.Points[i]
		w := 1 / math.Max(y*y, 1e-12)
		sw += w
		sx += w * x
		sy += w * y
		sxx += w * x * x
		sxy += w * x * y
	}
	l.PerUnit = (sw*sxy - sx*sy) / (sw*sxx - sx*sx)
	l.Base = (sy - l.PerUnit*sx) / sw
	for i, size := range l.Slope.Sizes {
		distance := math.Abs(l.At(float64(size))-l.Points[i]) / math.Max(l.Points[i], 1e-12)
		l.Error = math.Max(l.Error, distance)
	}
}
