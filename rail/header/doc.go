// Package header tells the headers of a message that are passed on from those that concern one connection.
package header
