// Package messenger defines the messages between the processes of the fleet
// and carries them: control frames as CBOR over WebSocket, and answers as a
// CBOR sequence in an HTTP response.
//
// A frame is a domain type with its own tags; it is checked when decoded.
package messenger
