package report

import (
	"net/http"
	"regexp"
	"sort"
	"strconv"
	"time"
)

// Route counts the requests of one route that were not served, or served late.
type Route struct {
	Route   string `json:"route"`
	Refused int    `json:"refused"`
	Late    int    `json:"late"`
	// Causes are sorted by count, and Seconds by the number of requests refused or
	// late in them.
	Causes  []Cause  `json:"causes"`
	Seconds []Second `json:"seconds"`
}

// Cause is a cause of refused or late requests. Example is the ID of one of them.
type Cause struct {
	Cause   string `json:"cause"`
	Count   int    `json:"count"`
	Example string `json:"example"`
}

// Second is one second of the logs.
type Second struct {
	At    time.Time `json:"at"`
	Count int       `json:"count"`
}

const (
	// maxCauses limits the causes kept for a route; further ones count as
	// otherCause.
	maxCauses    = 50
	otherCause   = "other"
	maxCauseText = 100
	lateCause    = "served late"
	// noRoute is the route of requests that no route matches.
	noRoute = "none"
)

type requestReader struct{ byRoute map[string]*routeLog }

type routeLog struct {
	refused, late int
	causes        map[string]*Cause
	seconds       map[int64]int
}

func newRequestReader() *requestReader { return &requestReader{byRoute: map[string]*routeLog{}} }

func (r *requestReader) add(l *line) {
	name := l.Route
	if name == "" {
		name = noRoute
	}
	route := r.byRoute[name]
	if route == nil {
		route = &routeLog{causes: map[string]*Cause{}, seconds: map[int64]int{}}
		r.byRoute[name] = route
	}
	text := lateCause
	if l.Message == messageServedLate {
		route.late++
	} else {
		route.refused++
		text = causeText(l.Status, l.Error)
	}
	cause := route.causes[text]
	if cause == nil {
		if len(route.causes) >= maxCauses {
			text = otherCause
		}
		if cause = route.causes[text]; cause == nil {
			cause = &Cause{Cause: text, Example: l.Request}
			route.causes[text] = cause
		}
	}
	cause.Count++
	route.seconds[l.Time.Unix()]++
}

// identifiers matches addresses, IDs and numbers, which differ between requests that
// failed for the same cause.
var identifiers = regexp.MustCompile(`\b[0-9a-f]{8,}\b|[0-9]+(\.[0-9]+)*(:[0-9]+)?`)

func causeText(status int, text string) string {
	text = identifiers.ReplaceAllString(text, "#")
	if len(text) > maxCauseText {
		text = text[:maxCauseText]
	}
	return strconv.Itoa(status) + " " + http.StatusText(status) + ": " + text
}

func (r *requestReader) routes() []Route {
	var routes []Route
	for name, log := range r.byRoute {
		route := Route{Route: name, Refused: log.refused, Late: log.late}
		for _, cause := range log.causes {
			route.Causes = append(route.Causes, *cause)
		}
		sort.Slice(route.Causes, func(i, j int) bool {
			if route.Causes[i].Count != route.Causes[j].Count {
				return route.Causes[i].Count > route.Causes[j].Count
			}
			return route.Causes[i].Cause < route.Causes[j].Cause
		})
		for second, count := range log.seconds {
			route.Seconds = append(route.Seconds, Second{time.Unix(second, 0).UTC(), count})
		}
		sort.Slice(route.Seconds, func(i, j int) bool {
			if route.Seconds[i].Count != route.Seconds[j].Count {
				return route.Seconds[i].Count > route.Seconds[j].Count
			}
			return route.Seconds[i].At.Before(route.Seconds[j].At)
		})
		routes = append(routes, route)
	}
	sort.Slice(routes, func(i, j int) bool { return routes[i].Route < routes[j].Route })
	return routes
}
