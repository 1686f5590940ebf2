package mttable

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/command/mtoperator"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
	"github.com/mustardtide/mustardtide/internal/role/mttls"
)

// operatorFlags say where an operator's command finds the fleet.
type operatorFlags struct {
	platform  string
	namespace string
	peers     []string
	tls       mustardtidev1.Tls
}

func bindOperatorFlags(c *kingpin.CmdClause) *operatorFlags {
	f := &operatorFlags{}
	c.Flag("platform", "URL of the platform's object API.").Envar("MUSTARDTIDE_PLATFORM").StringVar(&f.platform)
	c.Flag("namespace", "Namespace of the system's objects.").Default("default").Envar("MUSTARDTIDE_NAMESPACE").StringVar(&f.namespace)
	c.Flag("peer", "Internal address of a process to ask in place of the platform's list; may be repeated.").StringsVar(&f.peers)
	c.Flag("cert", "The operator's certificate, where the fleet uses TLS.").Envar("MUSTARDTIDE_CERT").StringVar(&f.tls.Cert)
	c.Flag("key", "The certificate's key.").Envar("MUSTARDTIDE_KEY").StringVar(&f.tls.Key)
	c.Flag("ca", "The fleet's certificate authority.").Envar("MUSTARDTIDE_CA").StringVar(&f.tls.Ca)
	return f
}

// operator returns what the command asks with.
func (f *operatorFlags) operator() (*mtoperator.Operator, error) {
	if f.platform == "" && len(f.peers) == 0 {
		return nil, trace.BadParameter("name the platform with --platform or processes with --peer")
	}
	network := mtnet.System()
	if f.tls.GetCert() != "" {
		keys, err := mttls.Load(&f.tls)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		network = network.Secured(keys.Server(), keys.Client())
	}
	client := mtplatform.New(f.platform, f.namespace, network.Outside())
	return mtoperator.New(network, client, f.peers), nil
}
