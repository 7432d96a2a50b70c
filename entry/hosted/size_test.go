package hosted

import (
	"maps"
	"os"
	"slices"
	"strconv"

	"tamarackknot.example/tamarackknot/fake"
	"tamarackknot.example/tamarackknot/locality"
)

// selectCases returns the cases that are played: those with the names, or all if the
// environment has SCALE, since a case of the grown size takes some 20 s of a core.
func selectCases[T any](cases map[string]T, names ...string) map[string]T {
	if os.Getenv("SCALE") == "" {
		maps.DeleteFunc(cases, func(name string, _ T) bool { return !slices.Contains(names, name) })
	}
	return cases
}

// clusterSize is how large a test cluster is.
type clusterSize struct {
	hosts   int
	engines int // endpoints of the engine service
	plain   int // endpoints of the plain service, if there is one
	// slots and plainSlots are the requests that an endpoint of each service runs at once.
	slots, plainSlots int
	routes            int // of the first configuration, beside those that are used
	// linkBytes and strongLinkBytes are the bytes a second that the link of a host carries, of
	// the first strongHosts and of the others; 0 means that links take no time.
	linkBytes, strongLinkBytes int
	strongHosts                int
	strongHost                 int // the first of them
	// storeBytes are the bytes a second that all reads of the store share; 0 means that they
	// share nothing.
	storeBytes int
	// domains is the number of failure domains of hosts and endpoints, which they belong to in
	// turn; 0 means one.
	domains int
	// domainPrice is the price of the traffic between them, on the hosts with even numbers only
	// if somePriced is set.
	domainPrice locality.Price
	somePriced  bool
	// versions are those of the engines' software, in turn; nil if entries name none. Streams
	// may then be resumed.
	versions []string
	// tenants returns those of a version of the configuration; nil if it has none.
	tenants func(version int64) []map[string]any
}

// versionOf returns the version of the software of an endpoint.
func (size clusterSize) versionOf(id string) string {
	n, err := strconv.Atoi(id[1:])
	if err != nil || len(size.versions) == 0 {
		return ""
	}
	return size.versions[n%len(size.versions)]
}

// domainOf returns the failure domain of a host or an endpoint, whose name is a letter and a
// number.
func (size clusterSize) domainOf(name string) string {
	n, err := strconv.Atoi(name[1:])
	if err != nil || size.domains == 0 {
		return "z1"
	}
	return "z" + strconv.Itoa(1+n%size.domains)
}

// priceOf returns the price of the traffic between failure domains that a host is given.
func (size clusterSize) priceOf(host string) locality.Price {
	if n, err := strconv.Atoi(host[1:]); size.somePriced && (err != nil || n%2 > 0) {
		return 0
	}
	return size.domainPrice
}

// strongCores are the CPU cores of a strong host, as a multiple of those of another one.
const strongCores = 4.0

// smallSize is the size of a cluster whose hosts plan and follow the streams.
func smallSize() clusterSize {
	return clusterSize{hosts: 4, engines: 3, plain: 3, slots: 8, plainSlots: 8}
}

// smallServingSize is the size of a cluster whose endpoints answer.
func smallServingSize() clusterSize {
	size := smallSize()
	size.engines = 8
	return size
}

// grownSize is the size of the largest deployment that is in use.
func grownSize() clusterSize {
	return clusterSize{
		hosts: 89, engines: 112, plain: 3, slots: 12, plainSlots: 6, routes: 1450,
		linkBytes: 10e6 / 8, strongLinkBytes: 200e6 / 8, strongHosts: 6,
	}
}

// manyHosts is the size of the deployment with the most hosts, with few endpoints.
func manyHosts() clusterSize {
	size := smallSize()
	size.hosts = 295
	return size
}

// largeSize is the size of the deployment with the most hosts, with a part of its engines.
func largeSize() clusterSize {
	return clusterSize{
		hosts: 295, engines: 60, plain: 5, slots: 16, plainSlots: 6, routes: 1450,
		linkBytes: 20e6 / 8, strongLinkBytes: 200e6 / 8, strongHosts: 15, storeBytes: 80e6,
	}
}

// slotsOf returns the slots of the endpoints of a service.
func (size clusterSize) slotsOf(service string) int {
	if service == plainService {
		return size.plainSlots
	}
	return size.slots
}

// coresOf returns the CPU cores of a host.
func (size clusterSize) coresOf(host string) float64 {
	for i := range size.strongHosts {
		if host == hostName(size.strongHost+i) {
			return strongCores
		}
	}
	return 1
}

// links returns the links of the hosts, nil if they take no time.
func (size clusterSize) links() *fake.Links {
	if size.linkBytes == 0 {
		return nil
	}
	links := fake.NewLinks()
	if size.storeBytes > 0 {
		links.Add("", size.storeBytes)
	}
	for i := range size.hosts {
		if i < size.strongHosts {
			links.Add(hostName(i), size.strongLinkBytes)
		} else {
			links.Add(hostName(i), size.linkBytes)
		}
	}
	return links
}
