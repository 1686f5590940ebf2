package mttable

import (
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/platform/mtboot"
	"github.com/mustardtide/mustardtide/platform/mtobjects"
)

// checkBoot checks the settings that the users' platform gives to a process.
func checkBoot(path string, out io.Writer) error {
	site, err := mtboot.Load(path)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(out, "%s: valid: %s in %s, store %s\n", path, site.GetName(), site.GetDatacentre(), site.GetStore())
	return nil
}

// checkCatalog checks a configuration as the platform's operators write it, and
// lists every fault.
func checkCatalog(path string, out io.Writer) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	catalog, faults, err := mtobjects.ParseCatalog(text)
	if err != nil {
		return trace.BadParameter("%s: %v", path, err)
	}
	for _, fault := range faults {
		fmt.Fprintf(out, "%s: %s\n", path, fault)
	}
	if len(faults) > 0 {
		return trace.BadParameter("%s: %d faults; mend them before the configuration is written to the store", path, len(faults))
	}
	fmt.Fprintf(out, "%s: valid: version %d, %d routes, %d services, %d accounts\n",
		path, catalog.GetVersion(), len(catalog.GetRoutes()), len(catalog.GetServices()), len(catalog.GetAccounts()))
	return nil
}
