// Package member describes the instances of the fleet to each other.
package member
