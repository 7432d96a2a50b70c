package ingress

import (
	"math/rand/v2"
	"slices"

	"tamarackknot.example/tamarackknot"
)

// pickShare picks a service at random by weight.
func pickShare(shares []tamarackknot.Share) string {
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	n := rand.IntN(max(total, 1))
	for _, s := range shares {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}

// allows reports whether a route leads to a service.
func allows(shares []tamarackknot.Share, service string) bool {
	return slices.ContainsFunc(shares, func(s tamarackknot.Share) bool { return s.Service == service })
}
