// Package mtcatalog looks requests up in the operators' configuration: routes
// by host and path, client accounts by key, services by name.
package mtcatalog

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/prefix/mtpartition"
	"github.com/mustardtide/mustardtide/internal/routing/mtranking"
)

// Catalog is one version of the configuration, indexed. It does not change, so
// that readers need no lock.
type Catalog struct {
	source   *fleetv1.Catalog
	hosts    map[string][]*fleetv1.Route
	accounts map[string]*fleetv1.Account
	services map[string]*fleetv1.Service
	// named are the accounts by their names; limited is how many have a quota.
	named   map[string]*fleetv1.Account
	limited int
	// rankings are those of the services that rank their requests.
	rankings map[string]*mtranking.Ranking
	// partitions separate the cached prompts of isolated accounts.
	partitions *mtpartition.Partitions
}

// New indexes a configuration, which must not be changed afterwards.
func New(source *fleetv1.Catalog) *Catalog {
	c := &Catalog{
		source:   source,
		hosts:    map[string][]*fleetv1.Route{},
		accounts: map[string]*fleetv1.Account{},
		services: map[string]*fleetv1.Service{},
		named:    map[string]*fleetv1.Account{},
	}
	for _, route := range source.GetRoutes() {
		c.hosts[route.GetHost()] = append(c.hosts[route.GetHost()], route)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *fleetv1.Route) int {
			return len(b.GetPrefix()) - len(a.GetPrefix())
		})
	}
	// Of an account that can't be read it is not known whether it is isolated.
	isolated := slices.Clone(source.GetUnreadable())
	for _, account := range source.GetAccounts() {
		c.named[account.GetName()] = account
		if account.GetIsolated() {
			isolated = append(isolated, account.GetName())
		}
		if account.GetRate() > 0 {
			c.limited++
		}
		for _, key := range account.GetKeys() {
			c.accounts[key] = account
		}
	}
	for _, service := range source.GetServices() {
		c.services[service.GetName()] = service
	}
	c.partitions = mtpartition.New(isolated)
	c.rankings = c.rank()
	return c
}

// Version is the operators' number of the configuration.
func (c *Catalog) Version() int64 { return c.source.GetVersion() }

// Revision is the store's, by which newer is told from older.
func (c *Catalog) Revision() int64 { return c.source.GetRevision() }

// Source is the configuration as it was read.
func (c *Catalog) Source() *fleetv1.Catalog { return c.source }

// Route returns the route of the longest prefix that begins the path, or nil.
func (c *Catalog) Route(host, path string) *fleetv1.Route {
	for _, route := range c.hosts[hostOnly(host)] {
		if strings.HasPrefix(path, route.GetPrefix()) {
			return route
		}
	}
	return nil
}

// Account returns the account that holds a key, or nil.
func (c *Catalog) Account(key string) *fleetv1.Account { return c.accounts[key] }

// AccountNamed returns an account by its name, or nil.
func (c *Catalog) AccountNamed(name string) *fleetv1.Account { return c.named[name] }

// Partition returns the partition of the cached prompts of an account's requests; nil for requests
// that need no account. An account that the configuration no longer has shares none.
func (c *Catalog) Partition(account *fleetv1.Account) string {
	switch {
	case account == nil:
		return c.partitions.Shared()
	case c.named[account.GetName()] == nil:
		return mtpartition.Own(account.GetName())
	default:
		return c.partitions.Of(account.GetName())
	}
}

// Limited is the number of accounts that have a quota.
func (c *Catalog) Limited() int { return c.limited }

// Keyed says that requests need a key, unless their route is open. An empty list of accounts lets
// nobody in; only a configuration without a list needs no key.
func (c *Catalog) Keyed() bool {
	return c.source.GetAccess() == fleetv1.Access_ACCESS_KEYED || len(c.source.GetAccounts()) > 0
}

// Ambiguous says that the configuration does not tell whether requests need a key: entries of
// earlier builds hand on an empty list of accounts as they do none.
func (c *Catalog) Ambiguous() bool {
	return c.source.GetAccess() == fleetv1.Access_ACCESS_UNKNOWN && !c.Keyed()
}

// Service returns a service, or nil.
func (c *Catalog) Service(name string) *fleetv1.Service { return c.services[name] }

// rank returns the rankings of the model services that have one.
func (c *Catalog) rank() map[string]*mtranking.Ranking {
	routes := map[string][]*fleetv1.Route{}
	for _, route := range c.source.GetRoutes() {
		for _, share := range route.GetShares() {
			if c.services[share.GetService()].GetModel() != "" {
				routes[share.GetService()] = append(routes[share.GetService()], route)
			}
		}
	}
	rankings := map[string]*mtranking.Ranking{}
	for name, list := range routes {
		if ranking := mtranking.New(list, c.source.GetAccounts()); ranking != nil {
			rankings[name] = ranking
		}
	}
	return rankings
}

// Ranking returns how a service ranks its requests, nil if it does not.
func (c *Catalog) Ranking(service string) *mtranking.Ranking { return c.rankings[service] }

// Ranked returns the services that rank their requests.
func (c *Catalog) Ranked() map[string]bool {
	ranked := map[string]bool{}
	for name := range c.rankings {
		ranked[name] = true
	}
	return ranked
}

// Limits bound what callers send.
func (c *Catalog) Limits() *fleetv1.Limits { return c.source.GetLimits() }

// Cache returns the address of the store of KV cache in which a prompt's part
// belongs, or "" where there is none. All entries agree on it: each part is then read
// once for the fleet, and the stores hold as much as all of them together. With a
// store for each data centre's entries each would hold the same, a third of what is
// asked for, and every part would be read three times.
func (c *Catalog) Cache(part string) string {
	found := ""
	best := uint64(0)
	for _, service := range c.source.GetServices() {
		address := service.GetCache()
		if address == "" {
			continue
		}
		if score := xxh3.HashStringSeed(part, xxh3.HashString(address)); found == "" || score > best {
			best, found = score, address
		}
	}
	return found
}

// Serve returns the service for a request of a route, drawn by the services' weights, or why the
// configuration lets none serve it. What it gives as none is none: no attempt, no weight, no entry
// of the service, or no model on its engines.
func (c *Catalog) Serve(route *fleetv1.Route) (service *fleetv1.Service, why string) {
	if route.GetAttempts() <= 0 {
		return nil, "the route allows no attempt"
	}
	name := Pick(route)
	if name == "" {
		return nil, "no service of the route has a weight above zero"
	}
	service = c.services[name]
	switch {
	case service == nil:
		return nil, "the route's service is not in the configuration"
	case LacksModel(service):
		return nil, "the engines of the route's service run no model"
	default:
		return service, ""
	}
}

// LacksModel reports whether a service has engines that run no model.
func LacksModel(service *fleetv1.Service) bool {
	return service.GetModel() == "" && (service.GetSlots() > 0 || service.GetMemory() > 0)
}

// Pick draws one of a route's services by its weight, "" if none has one above zero.
func Pick(route *fleetv1.Route) string {
	var total int64
	for _, share := range route.GetShares() {
		total += int64(max(0, share.GetWeight()))
	}
	if total == 0 {
		return ""
	}
	drawn := rand.Int64N(total)
	for _, share := range route.GetShares() {
		drawn -= int64(max(0, share.GetWeight()))
		if drawn < 0 {
			return share.GetService()
		}
	}
	return ""
}

// hostOnly drops a port and the case, which name no other host.
func hostOnly(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
