// Package retries holds the retry budgets of one instance.
package retries
