package mtfront

import (
	"time"

	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/relay/mtports"
)

// keeper is a process that stores the holders of some parts, or the origins of some streams: a
// sidecar, or an entry.
type keeper interface {
	// name is where it takes datagrams.
	name() string
	send(f *Front, message proto.Message)
}

// sidecarKeeper is a sidecar.
type sidecarKeeper struct {
	target *fleetv1.Target
	words  string
}

func (k sidecarKeeper) name() string { return k.words }

func (k sidecarKeeper) send(f *Front, message proto.Message) {
	call := &fleetv1.Call{}
	switch m := message.(type) {
	case *fleetv1.Seek:
		call.Call = &fleetv1.Call_Seek{Seek: m}
	case *fleetv1.Notice:
		call.Call = &fleetv1.Call_Notice{Notice: m}
	case *fleetv1.Origins:
		call.Call = &fleetv1.Call_Origins{Origins: m}
	case *fleetv1.Lookup:
		call.Call = &fleetv1.Call_Lookup{Lookup: m}
	case *fleetv1.Promises:
		call.Call = &fleetv1.Call_Promises{Promises: m}
	case *fleetv1.Claim:
		call.Call = &fleetv1.Call_Claim{Claim: m}
	}
	f.words.Send(k.words, call)
}

// entryKeeper is another entry, or this one.
type entryKeeper struct{ words string }

func (k entryKeeper) name() string { return k.words }

func (k entryKeeper) send(f *Front, message proto.Message) {
	word := &fleetv1.Word{}
	switch m := message.(type) {
	case *fleetv1.Seek:
		word.Word = &fleetv1.Word_Seek{Seek: m}
	case *fleetv1.Notice:
		word.Word = &fleetv1.Word_Notice{Notice: m}
	case *fleetv1.Origins:
		word.Word = &fleetv1.Word_Origins{Origins: m}
	case *fleetv1.Lookup:
		word.Word = &fleetv1.Word_Lookup{Lookup: m}
	}
	f.words.Send(k.words, word)
}

// keepers are the processes that keep the holders of a part of a prompt.
func (f *Front) keepers(query *mtboard.Query, part *fleetv1.Part) []keeper {
	var list []keeper
	for _, target := range f.board.DirectorySidecars(query, part, time.Duration(f.round.Load())) {
		list = append(list, sidecarKeeper{target, mtports.SidecarWords.At(f.site, target.GetAddress())})
	}
	if len(list) > 0 {
		return list
	}
	return []keeper{entryKeeper{f.peers.nearest(part.GetId(), f.socket.Address())}}
}
