package mttable

import (
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/platform/mtboot"
	"github.com/mustardtide/mustardtide/platform/mtobjects"
)

// checkBoot checks the settings that the users' platform gives to a process.
func checkBoot(path string, out io.Writer) error {
	site, err := mtboot.Load(path)
	if err != nil {
		return trace.Wrap(err)
	}
	keys := "as the configuration says"
	if site.GetKeyed() {
		keys = "always"
	}
	fmt.Fprintf(out, "%s: valid: %s in %s, store %s, keys needed %s\n", path, site.GetName(), site.GetDatacentre(), site.GetStore(), keys)
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
	fmt.Fprintf(out, "%s: valid: version %d, %d routes, %d services, %s\n",
		path, catalog.GetVersion(), len(catalog.GetRoutes()), len(catalog.GetServices()), accountsText(catalog))
	return nil
}

// accountsText says who may send requests by a configuration.
func accountsText(catalog *fleetv1.Catalog) string {
	switch {
	case catalog.GetAccess() == fleetv1.Access_ACCESS_OPEN:
		return "no list of accounts: no key is needed, unless the processes' settings ask for keys: then none is valid"
	case len(catalog.GetAccounts()) == 0:
		return "0 accounts: no key is valid, and only routes that are open serve requests"
	default:
		return fmt.Sprintf("%d accounts", len(catalog.GetAccounts()))
	}
}
