package link

import "quetzalpier"

// RanNaive is the naive baseline that Error.Ran is compared with: it assumes that
// a request without a response did not run.
func RanNaive(*Error) quetzalpier.Ran { return quetzalpier.RanNo }
