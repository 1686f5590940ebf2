// Package mtcheck validates a base file and its overlays as one: what each
// file says, and what they mean together in every data centre. All findings
// are listed; where there is one, nothing may be submitted.
package mtcheck

import (
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/settings/mtfinding"
	"github.com/mustardtide/mustardtide/internal/settings/mtmerge"
)

// Checker takes files and validates them. It is for one use.
type Checker struct {
	findings *mtfinding.List
	base     *file
	message  *mustardtidev1.Base
	overlays map[string]*overlay
}

// overlay is one decoded overlay file.
type overlay struct {
	*file
	message *mustardtidev1.Overlay
}

// New returns a Checker without files.
func New() *Checker {
	return &Checker{findings: &mtfinding.List{}, message: &mustardtidev1.Base{}, overlays: map[string]*overlay{}}
}

// Base takes the base file; findings name it label.
func (c *Checker) Base(label string, text []byte) {
	c.base = newFile(label, c.findings)
	// Findings hold the error; Check returns them together.
	_ = c.base.decoder.Decode(text, c.message)
	c.base.index(c.message.GetAccounts(), c.message.GetServices(), c.message.GetRules())
}

// Overlay takes an overlay and returns the name of its data centre.
func (c *Checker) Overlay(label string, text []byte) string {
	o := &overlay{file: newFile(label, c.findings), message: &mustardtidev1.Overlay{}}
	_ = o.decoder.Decode(text, o.message)
	o.index(o.message.GetAccounts(), o.message.GetServices(), o.message.GetRules())
	o.rates()
	name := o.message.GetDatacentre()
	switch _, twice := c.overlays[name]; {
	case name == "":
		o.decoder.Refuse("datacentre", "the overlay names no data centre", "write datacentre: NAME as its first line")
		return ""
	case twice:
		o.decoder.Refuse("datacentre", fmt.Sprintf("a second overlay of %q", name), "put both into one file")
	default:
		c.overlays[name] = o
	}
	return name
}

// rates refuses the rates of an overlay: an entry would grant those of its own data
// centre to all others.
func (o *overlay) rates() {
	for i, account := range o.message.GetAccounts() {
		at := fmt.Sprintf("accounts[%d].", i)
		if account.Rate != nil {
			o.decoder.Refuse(at+"rate", "a rate holds over all data centres", "write it into the base file")
		}
		if account.Burst != nil {
			o.decoder.Refuse(at+"burst", "a burst holds over all data centres", "write it into the base file")
		}
	}
}

// Check returns nil where the settings are valid in every data centre, else
// an error of type trace.BadParameter with all findings.
func (c *Checker) Check() error {
	if c.base == nil {
		return trace.BadParameter("there is no base file; name one")
	}
	c.datacentres()
	for name, o := range c.overlays {
		if !slices.Contains(c.message.GetDatacentres(), name) {
			o.decoder.Refuse("datacentre", fmt.Sprintf("the base file has no data centre %q", name), "name one of its datacentres, or add this one there")
		}
	}
	for _, name := range c.message.GetDatacentres() {
		c.merged(name)
	}
	if c.findings.Len() == 0 {
		return nil
	}
	return trace.Wrap(trace.BadParameter("%v", c.findings.Err()))
}

// Summary counts what the files hold.
func (c *Checker) Summary() string {
	return fmt.Sprintf("%d data centres, %d overlays, %d accounts, %d services, %d rules",
		len(c.message.GetDatacentres()), len(c.overlays), len(c.message.GetAccounts()), len(c.message.GetServices()), len(c.message.GetRules()))
}

func (c *Checker) datacentres() {
	const path = "datacentres"
	if len(c.message.GetDatacentres()) == 0 {
		c.base.decoder.Refuse(path, "no data centre is named", "list at least one")
	}
	seen := map[string]bool{}
	for i, name := range c.message.GetDatacentres() {
		at := fmt.Sprintf("%s[%d]", path, i)
		switch {
		case name == mtmerge.BaseName:
			c.base.decoder.Refuse(at, fmt.Sprintf("%q is the base file's own name", name), "name the data centre otherwise")
		case !validName(name):
			c.base.decoder.Refuse(at, fmt.Sprintf("%q is no name", name), nameRule)
		case seen[name]:
			c.base.decoder.Refuse(at, fmt.Sprintf("data centre %q stands twice", name), "remove one")
		}
		seen[name] = true
	}
}

// merged checks what one data centre's processes would run with.
func (c *Checker) merged(name string) {
	v := &view{base: c.base}
	var over *mustardtidev1.Overlay
	if o := c.overlays[name]; o != nil {
		v.overlay = o.file
		over = o.message
	}
	settings := mtmerge.Merge(c.message, over)
	v.accounts(settings.GetAccounts())
	v.services(settings.GetServices())
	v.rules(settings, len(over.GetRules()))
}
