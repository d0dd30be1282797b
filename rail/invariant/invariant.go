package invariant

import (
	"fmt"
	"sync/atomic"
)

// Violation describes an invariant that did not hold.
type Violation struct {
	// Name names the invariant.
	Name string
	// Detail says what was seen.
	Detail string
}

// Error returns the name of the invariant and what was seen.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %q violated: %s", v.Name, v.Detail)
}

// Checker counts checks and violations, and reports each violation; the zero value is ready for use.
type Checker struct {
	// Report receives each violation; nil means that violations are only counted.
	Report func(*Violation)

	checks     atomic.Uint64
	violations atomic.Uint64
}

// Check returns a Violation if ok is false, so that the caller can refuse the action.
func (c *Checker) Check(ok bool, name, format string, args ...any) error {
	c.checks.Add(1)
	if ok {
		return nil
	}
	c.violations.Add(1)
	violation := &Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	if c.Report != nil {
		c.Report(violation)
	}
	return violation
}

// Checks returns the number of checks made.
func (c *Checker) Checks() uint64 { return c.checks.Load() }

// Violations returns the number of checks that failed.
func (c *Checker) Violations() uint64 { return c.violations.Load() }
