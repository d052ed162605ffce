// Package clocker reads the clock on which every wait, age and limit is counted.
package clocker
