// Package relayer keeps the latest changes of the store in the order in which they
// were made. A router that follows the store sends them to other routers, which then
// need not read the store themselves.
package relayer
