package measure

import (
	"errors"
	"sync"
)

// SideBySide does n things on so many lanes and joins their errors.
func SideBySide(n, workers int, do func(i int) error) error {
	errs := make([]error, n)
	next := make(chan int, n)
	for i := range n {
		next <- i
	}
	close(next)
	var group sync.WaitGroup
	for range min(n, workers) {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := range next {
				errs[i] = do(i)
			}
		}()
	}
	group.Wait()
	return errors.Join(errs...)
}
