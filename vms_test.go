package quetzalpier_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier"
)

const oddVMs = `{"number":7,"vms":[{"id":"a","addr":"10.0.0.1:80","kind":"engine","state":"live"},
 {"id":"b","addr":"10.0.0.2:0","kind":"engine","state":"live"},{"id":"c","addr":"10.0.0.3:80","kind":"engine","state":"live","slots":"x"},
 {"id":"d","addr":"10.0.0.4:80","kind":"engine","state":"live","slots":-1},7,null,[],{"id":"a","addr":"10.0.0.5:80","kind":"engine","state":"live"}]}`

// Guards against a list that is refused as a whole for one entry: nodes then followed the
// list no longer.
func TestOddVMRemovesOnlyItself(t *testing.T) {
	var list quetzalpier.VMList
	require.NoError(t, json.Unmarshal([]byte(oddVMs), &list))
	require.EqualValues(t, 7, list.Number)
	require.Equal(t, []string{"10.0.0.1:80"}, addrs(list))
	require.Len(t, list.Invalid, 7)
}

func addrs(list quetzalpier.VMList) (found []string) {
	for _, vm := range list.VMs {
		found = append(found, vm.Addr)
	}
	return found
}
