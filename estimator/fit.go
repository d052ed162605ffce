package estimator

import (
	"fmt"
	"math"
)

// Point is one measurement: a value at a size of the driver.
type Point struct {
	Size  float64
	Value float64
}

// Fit is a straight line through measurements: base + slope × driver.
type Fit struct {
	Name   string
	Driver string
	Unit   string
	Points []Point
	Base   float64
	Slope  float64
	// Error is the largest distance of a point from the line, as a part of the
	// largest value.
	Error float64
}

// NewFit fits a line by least squares. It needs at least four points.
func NewFit(name, driver, unit string, ps []Point) (Fit, error) {
	f := Fit{Name: name, Driver: driver, Unit: unit, Points: ps}
	if len(ps) < minPoints {
		return f, fmt.Errorf("slope %q has %d points, fewer than %d", name, len(ps), minPoints)
	}
	var sx, sy, sxx, sxy float64
	for _, p := range ps {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	n := float64(len(ps))
	f.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f.Base = (sy - f.Slope*sx) / n
	most := 0.0
	for _, p := range ps {
		most = math.Max(most, math.Abs(p.Value))
		f.Error = math.Max(f.Error, math.Abs(p.Value-f.At(p.Size)))
	}
	f.Error /= most
	return f, nil
}

// minPoints is the least number of sizes behind a slope.
const minPoints = 4

// At returns the line's value at a size, at least zero.
func (f Fit) At(size float64) float64 { return math.Max(0, f.Base+f.Slope*size) }
