// Package mtfailure is the error that an operator's command ends with.
package mtfailure

import (
	"fmt"

	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

// Failure is a numbered result with what was found. It is an error.
type Failure struct {
	code   mtcode.Code
	detail string
}

// New returns a failure; detail says what was found, over one line or several.
func New(code mtcode.Code, detail string) *Failure {
	return &Failure{code: code, detail: detail}
}

// Code is the numbered result.
func (f *Failure) Code() mtcode.Code { return f.code }

// Error gives the detail, then the code with what it means and a next step.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s\n%v: %s; %s", f.detail, f.code, f.code.Text(), f.code.Next())
}
