// Package informer exchanges, several times a second, what the routers have under
// way. Each router reports to a few hubs, and a hub sends the total of all reports
// back to the reporting routers. Messages carry complete states and not differences,
// so that lost, repeated and reordered messages do no harm.
package informer
