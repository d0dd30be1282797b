// Package quarantine keeps requests from engines that would crash under them. It confirms crashes, shares them with the other
// instances through the store and asks package poison which requests are blocked. The store keeps what is known, but it may take
// longer to reach the other instances than a caller to send the next request, so a crash is announced to them at once, too.
package quarantine
