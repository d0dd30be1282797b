// Package quarantine keeps requests from engines that would crash under them. It confirms crashes, shares them with the other
// instances through the store and asks package poison which requests are blocked.
package quarantine
