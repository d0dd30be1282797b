// Package admit decides which requests of one pool run now, which wait and which are refused.
package admit
