package mtmargin_test

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtmargin"
)

func ExampleOf() {
	account := &fleetv1.Account{Rate: 1000, Burst: 2000}
	margin := mtmargin.Of(account, &fleetv1.Bounds{Span: durationpb.New(8 * time.Second), Overshoot: 0.1, Surplus: 500})
	fmt.Println(margin.HeldCredit(), margin.MaxOverdraft(), margin.MaxDebt(1), margin.MaxDebt(10))
	fmt.Println(mtmargin.Of(account, nil).HeldCredit())
	// Output:
	// 525 525 225 22.5
	// 0
}
