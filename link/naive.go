package link

import "quetzalpier"

// RanNaive is the naive baseline that Error.Ran is measured against: a request
// that brought no answer did not run.
func RanNaive(*Error) quetzalpier.Ran { return quetzalpier.RanNo }
