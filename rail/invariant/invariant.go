package invariant

import (
	"fmt"
	"sync/atomic"
)

// Violation describes an invariant that did not hold.
type Violation struct {
	// Name is the name of the invariant.
	Name string
	// Detail describes the values that violate the invariant.
	Detail string
}

// Error returns the name of the invariant and the detail.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %q violated: %s", v.Name, v.Detail)
}

// Checker counts checks and violations, and reports each violation; the zero value is ready to use.
//
// It may be used by several goroutines at once if Report may.
type Checker struct {
	// Report is called with each violation; if it is nil, violations are only counted.
	Report func(*Violation)

	checks     atomic.Uint64
	violations atomic.Uint64
}

// Check returns nil if ok is true, and otherwise a *Violation, in which case the checked action must not be carried out.
//
// The format and its arguments give the detail.
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
