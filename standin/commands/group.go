package commands

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Formats of a group in --engines and --services, as shown in help and errors.
const (
	engineGroupFormat = "name=periyar-flow,deployment=periyar,count=20,port=9101,memoryMB=81920," +
		"slots=8,queue=4,fencing=0.5,domains=kochi-1+kochi-2+kochi-3"
	serviceGroupFormat = "name=periyar-app,deployment=periyar,count=3,port=9131,slots=32,domains=kochi-1+kochi-2+kochi-3"
)

// Upper limits of the values of a group.
const (
	maxGroupCount = 1000
	maxPort       = 65535
	maxSlots      = 100_000
)

// endpointGroup holds the settings that groups of engines and groups of
// services have in common.
type endpointGroup struct {
	text       string
	name       string
	deployment string
	count      int
	port       int
	slots      int
	domains    []string
}

type engineGroup struct {
	endpointGroup
	memoryMB int64
	queue    int
	// fencing is the fraction of the engines that check fencing tokens.
	fencing float64
}

type serviceGroup struct {
	endpointGroup
}

// endpointName returns the name of the endpoint with the zero-based index i:
// name-01 for 0, name-02 for 1.
func (g endpointGroup) endpointName(i int) string {
	return fmt.Sprintf("%s-%02d", g.name, i+1)
}

func (g endpointGroup) endpointPort(i int) uint16 {
	return uint16(g.port + i)
}

func (g endpointGroup) domain(i int) string {
	return g.domains[i%len(g.domains)]
}

// hasFencing reports whether engine i checks fencing tokens. The engines that
// do are spread evenly over the group.
func (g engineGroup) hasFencing(i int) bool {
	return int(float64(i+1)*g.fencing) > int(float64(i)*g.fencing)
}

func (c *checker) engineGroup(option, text string) engineGroup {
	fields := c.fields(option, text, engineGroupFormat)
	g := engineGroup{
		endpointGroup: c.endpointGroup(option, text, fields),
		memoryMB:      c.int(option+" memoryMB", fields["memoryMB"], 1, maxMemoryMB),
		queue:         int(c.int(option+" queue", fields["queue"], 0, maxSlots)),
		fencing:       c.float(option+" fencing", fields["fencing"], 0, 1),
	}
	return g
}

func (c *checker) serviceGroup(option, text string) serviceGroup {
	return serviceGroup{endpointGroup: c.endpointGroup(option, text, c.fields(option, text, serviceGroupFormat))}
}

func (c *checker) endpointGroup(option, text string, fields map[string]string) endpointGroup {
	g := endpointGroup{
		text:       text,
		name:       c.name(option+" name", fields["name"]),
		deployment: c.name(option+" deployment", fields["deployment"]),
		count:      int(c.int(option+" count", fields["count"], 1, maxGroupCount)),
		port:       int(c.int(option+" port", fields["port"], 1, maxPort)),
		slots:      int(c.int(option+" slots", fields["slots"], 1, maxSlots)),
	}
	for d := range strings.SplitSeq(fields["domains"], "+") {
		g.domains = append(g.domains, c.name(option+" domains", d))
	}
	if g.port+g.count-1 > maxPort {
		c.fail(option, text, fmt.Sprintf("a port and a count whose last port is at most %d", maxPort))
	}
	return g
}

// fields parses "key=value,key=value". Each key of format must occur exactly
// once.
func (c *checker) fields(option, text, format string) map[string]string {
	fields := make(map[string]string)
	for part := range strings.SplitSeq(text, ",") {
		key, value, ok := strings.Cut(part, "=")
		if _, duplicate := fields[key]; !ok || duplicate {
			c.fail(option, text, "the form "+format)
		}
		fields[key] = value
	}
	keyCount := 0
	for part := range strings.SplitSeq(format, ",") {
		key, _, _ := strings.Cut(part, "=")
		if _, ok := fields[key]; !ok {
			c.fail(option, text, fmt.Sprintf("the form %s; %s is missing", format, key))
		}
		keyCount++
	}
	if len(fields) != keyCount {
		c.fail(option, text, "only the keys of the form "+format)
	}
	return fields
}

func (c *checker) name(option, text string) string {
	if !regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`).MatchString(text) {
		c.fail(option, text, "a name of lower-case letters, digits, dots and hyphens")
	}
	return text
}

func (c *checker) int(option, text string, minValue, maxValue int64) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < minValue || n > maxValue {
		c.fail(option, text, fmt.Sprintf("a whole number from %d to %d", minValue, maxValue))
	}
	return n
}

func (c *checker) float(option, text string, minValue, maxValue float64) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= minValue && n <= maxValue) {
		c.fail(option, text, fmt.Sprintf("a number from %g to %g", minValue, maxValue))
	}
	return n
}
