package tasks_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"quetzalpier/tasks"
)

func ExampleEvents() {
	events := tasks.NewEvents("one", "two", "three")
	fmt.Println(events.Len(), events.Bytes())
	fmt.Printf("%q\n", events.Join())
	fmt.Printf("%q\n", events.First(2).List())
	// Output:
	// 3 14
	// "one\ntwo\nthree"
	// ["one" "two"]
}

// TestEvents compares events with a list of strings.
func TestEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.StringN(0, 6, -1), 0, 8).Draw(t, "events")
		events := tasks.NewEvents(list...)
		bytes := len(list)
		for _, event := range list {
			bytes += len(event)
		}
		require.Equal(t, len(list), events.Len())
		require.Equal(t, bytes, events.Bytes())
		require.Equal(t, strings.Join(list, "\n"), events.Join())
		require.Equal(t, append([]string(nil), list...), events.List())
		n := rapid.IntRange(0, 10).Draw(t, "first")
		require.Equal(t, append([]string(nil), list[:min(n, len(list))]...), events.First(n).List())
	})
	t.Run("a copy does not change as the events grow", func(t *testing.T) {
		var text tasks.Text
		text.Add("a", 1)
		earlier := text.Events
		text.Add("b", 1)
		require.Equal(t, []string{"a"}, earlier.List())
		require.Equal(t, []string{"a", "b"}, text.Events.List())
	})
	t.Run("data that is not UTF-8 does not end an event", func(t *testing.T) {
		require.Equal(t, []string{"a\ufffdb"}, tasks.NewEvents("a\xffb").List())
	})
}
