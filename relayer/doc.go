// Package relayer keeps the latest changes of the store in the order in which they
// were made, so that a router that follows the store tells them to others, which
// then need not ask it themselves.
package relayer
