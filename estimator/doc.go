// Package estimator measures how the cost of each role grows with its drivers,
// and works out the figures of docs/CAPACITY.md from the slopes.
package estimator
