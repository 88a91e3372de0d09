package admit_test

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"quetzalpier"
	"quetzalpier/admit"
)

// A fixed seed makes the generated cases the same in every run.
func init() { _ = flag.Set("rapid.seed", "20261203") }

var start = time.Unix(1_000_000, 0)

const (
	interactive = quetzalpier.ClassInteractive
	rollout     = quetzalpier.ClassRollout
	internal    = quetzalpier.ClassInternal
)

func enqueue(t require.TestingT, q *admit.Queue, class quetzalpier.Class, tenant string, weight float64) *admit.Ticket {
	ticket := &admit.Ticket{Class: class, Tenant: tenant, Weight: weight}
	_, ok := q.Enqueue(ticket, start)
	require.True(t, ok)
	return ticket
}

// grants grants up to n tickets and returns their number by tenant.
func grants(q *admit.Queue, n int) map[string]int {
	counts := map[string]int{}
	for range n {
		ticket := q.Peek()
		if ticket == nil {
			break
		}
		q.Grant(ticket, start)
		counts[ticket.Tenant]++
	}
	return counts
}

func TestOrder(t *testing.T) {
	t.Run("interactive requests have priority and the other classes get their minimum share", func(t *testing.T) {
		q := &admit.Queue{}
		for range 100 {
			enqueue(t, q, interactive, "app", 1)
			enqueue(t, q, rollout, "trainer", 1)
			enqueue(t, q, internal, "lookup", 1)
		}
		counts := grants(q, 100)
		require.GreaterOrEqual(t, counts["app"], 70)
		require.InDelta(t, 20, counts["trainer"], 2)
		require.InDelta(t, 5, counts["lookup"], 2)
	})
	t.Run("tenants of a class get grants in proportion to their weights", func(t *testing.T) {
		q := &admit.Queue{}
		for range 100 {
			enqueue(t, q, rollout, "a", 1)
			enqueue(t, q, rollout, "b", 3)
		}
		counts := grants(q, 100)
		require.InDelta(t, 25, counts["a"], 2)
		require.InDelta(t, 75, counts["b"], 2)
	})
	t.Run("a tenant with many tickets does not delay another", func(t *testing.T) {
		q := &admit.Queue{}
		for range 500 {
			enqueue(t, q, rollout, "heavy", 1)
		}
		for range 10 {
			enqueue(t, q, rollout, "light", 1)
		}
		require.Equal(t, 10, grants(q, 22)["light"])
	})
	t.Run("every ticket is granted once in any order of events", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			q := &admit.Queue{}
			waiting := map[*admit.Ticket]bool{}
			for range rapid.IntRange(1, 80).Draw(t, "events") {
				class := quetzalpier.Class(rapid.IntRange(0, 2).Draw(t, "class"))
				switch rapid.IntRange(0, 2).Draw(t, "event") {
				case 0, 1:
					waiting[enqueue(t, q, class, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant"), 1)] = true
				case 2:
					if ticket := q.Peek(); ticket != nil {
						require.True(t, waiting[ticket])
						delete(waiting, ticket)
						q.Grant(ticket, start)
					}
				}
			}
			require.Equal(t, len(waiting), q.Len())
			for range len(waiting) {
				ticket := q.Peek()
				require.True(t, waiting[ticket])
				delete(waiting, ticket)
				q.Grant(ticket, start)
			}
			require.Nil(t, q.Peek())
		})
	})
}

func TestRefusal(t *testing.T) {
	busy := func(t *testing.T) (*admit.Queue, time.Time) {
		q := &admit.Queue{}
		now := start
		for range 200 {
			ticket := enqueue(t, q, rollout, "a", 1)
			now = now.Add(100 * time.Millisecond)
			q.Grant(ticket, now)
		}
		for range 50 {
			enqueue(t, q, interactive, "a", 1)
		}
		return q, now
	}
	t.Run("a ticket that would miss its deadline is refused at once with a retry delay", func(t *testing.T) {
		q, now := busy(t)
		after, ok := q.Enqueue(&admit.Ticket{Class: interactive, Deadline: now.Add(time.Second)}, now)
		require.False(t, ok)
		require.InDelta(t, 5, after.Seconds(), 1)
		require.Equal(t, 50, q.Len())
	})
	t.Run("a ticket that can meet its deadline is accepted", func(t *testing.T) {
		q, now := busy(t)
		_, ok := q.Enqueue(&admit.Ticket{Class: interactive, Deadline: now.Add(10 * time.Second)}, now)
		require.True(t, ok)
	})
	t.Run("the queue length is bounded", func(t *testing.T) {
		q := &admit.Queue{}
		refused := 0
		for range 9000 {
			if _, ok := q.Enqueue(&admit.Ticket{Class: internal}, start); !ok {
				refused++
			}
		}
		require.Equal(t, 9000-8192, refused)
	})
	t.Run("tickets past their deadline expire", func(t *testing.T) {
		q := &admit.Queue{}
		late := &admit.Ticket{Class: internal, Deadline: start.Add(time.Second)}
		_, _ = q.Enqueue(late, start)
		enqueue(t, q, internal, "a", 1)
		require.Empty(t, q.Expire(start))
		require.Equal(t, []*admit.Ticket{late}, q.Expire(start.Add(time.Second)))
		require.Equal(t, 1, q.Len())
	})
}

// Load pattern: six times the usual requests, at upstreams that take 100 ms and more.
func TestLatestStart(t *testing.T) {
	q := &admit.Queue{}
	ticket := &admit.Ticket{Class: interactive, Deadline: start.Add(80 * time.Millisecond)}
	require.Equal(t, ticket.Deadline, q.LatestStart(ticket), "the service time is unknown")
	q.ObserveService(100 * time.Millisecond)
	_, ok := q.Enqueue(ticket, start)
	require.False(t, ok, "not even a fast upstream can answer in time")
	ticket.Deadline = start.Add(250 * time.Millisecond)
	_, ok = q.Enqueue(ticket, start)
	require.True(t, ok)
	require.Equal(t, start.Add(150*time.Millisecond), q.LatestStart(ticket), "it gives up while another node could serve it")
	for range 50 {
		q.ObserveService(200 * time.Millisecond)
	}
	require.Less(t, q.LatestStart(ticket), start.Add(100*time.Millisecond), "upstreams became slow")
	q.ObserveService(20 * time.Millisecond)
	require.Equal(t, start.Add(230*time.Millisecond), q.LatestStart(ticket), "one fast answer shows what is possible")
	require.Zero(t, q.LatestStart(&admit.Ticket{Class: rollout}))
}

func TestRemoveLate(t *testing.T) {
	q := &admit.Queue{}
	var tickets []*admit.Ticket
	for i, class := range []quetzalpier.Class{quetzalpier.ClassRollout, quetzalpier.ClassInteractive, quetzalpier.ClassRollout, quetzalpier.ClassRollout} {
		tickets = append(tickets, &admit.Ticket{ID: uint64(i), Class: class})
		_, ok := q.Enqueue(tickets[i], start)
		require.True(t, ok)
	}
	removed := q.RemoveLate(func(ticket *admit.Ticket, ahead int) bool {
		return ticket == tickets[2] || ahead >= 2
	})
	require.Equal(t, []*admit.Ticket{tickets[2], tickets[3]}, removed, "those that are removed don't count as ahead")
	require.Equal(t, 2, q.Len())
	t.Run("a ticket that was granted in vain keeps its place", func(t *testing.T) {
		q.Grant(tickets[1], start)
		last := &admit.Ticket{ID: 9, Class: quetzalpier.ClassInteractive}
		_, ok := q.Enqueue(last, start)
		require.True(t, ok)
		q.Requeue(tickets[1])
		require.Same(t, tickets[1], q.Peek())
		require.Equal(t, 3, q.Len())
	})
}
