package mtpermit_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/members/mtpermit"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
)

// oneObject is a store of one object.
type oneObject struct {
	version int
	data    []byte
}

func (o *oneObject) Get(_ context.Context, name string) (mtrecord.Record, error) {
	if o.version == 0 {
		return mtrecord.Record{}, trace.NotFound("%s", name)
	}
	return mtrecord.New(name, strconv.Itoa(o.version), o.data), nil
}

func (o *oneObject) Create(ctx context.Context, name string, data []byte) (mtrecord.Record, error) {
	if o.version > 0 {
		return mtrecord.Record{}, trace.AlreadyExists("%s", name)
	}
	return o.write(ctx, name, data)
}

func (o *oneObject) Update(ctx context.Context, old mtrecord.Record, data []byte) (mtrecord.Record, error) {
	if old.Version() != strconv.Itoa(o.version) {
		return mtrecord.Record{}, trace.CompareFailed("%s", old.Name())
	}
	return o.write(ctx, old.Name(), data)
}

func (o *oneObject) write(ctx context.Context, name string, data []byte) (mtrecord.Record, error) {
	o.version++
	o.data = data
	return o.Get(ctx, name)
}

// Story: a target's instance is replaced while it loads, and another hangs in
// a load for good. Their permits must come back, but not before nobody can be
// loading under them.
func TestPermitsLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx := t.Context()
		store := &oneObject{}
		listed := map[string]bool{"trip-0": true, "trip-1": true}
		isListed := func(target string) bool { return listed[target] }
		replaced := mtpermit.New(store, "trip", "trip-0", isListed)
		hanging := mtpermit.New(store, "trip", "trip-1", isListed)
		next := mtpermit.New(store, "trip", "trip-2", isListed)
		busy := func() bool {
			refusal := mtrefusal.FromError(next.Take(ctx, 2))
			return refusal != nil && refusal.Code() == mtcode.PermitBusy
		}
		g.Expect(replaced.Take(ctx, 2)).To(Succeed())
		g.Expect(hanging.Take(ctx, 2)).To(Succeed())
		g.Expect(busy()).To(BeTrue())
		listed["trip-0"] = false
		g.Expect(busy()).To(BeTrue(), "the list may only lag")
		time.Sleep(2 * time.Minute)
		g.Expect(next.Take(ctx, 2)).To(Succeed())
		g.Expect(next.Give(ctx)).To(Succeed())
		g.Expect(replaced.Take(ctx, 2)).To(Succeed(), "a lapsed permit is taken anew")
		listed["trip-0"] = true
		g.Expect(busy()).To(BeTrue())
		time.Sleep(mtpermit.Longest - 3*time.Minute)
		g.Expect(replaced.Take(ctx, 2)).To(Succeed())
		g.Expect(busy()).To(BeTrue(), "the hanging load may still go on")
		time.Sleep(4 * time.Minute)
		g.Expect(next.Take(ctx, 2)).To(Succeed())
	})
}
