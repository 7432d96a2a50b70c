package ingress

import (
	"math/rand/v2"

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
