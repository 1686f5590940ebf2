package mtcode

import (
	"maps"
	"sync"
)

// table joins the areas' tables once.
var table = sync.OnceValue(func() map[Code]row {
	rows := map[Code]row{}
	for _, area := range []map[Code]row{callerRows, admissionRows, targetRows, onceRows, settingsRows, platformRows} {
		maps.Copy(rows, area)
	}
	return rows
})
