package measure

import (
	"errors"
	"sync"
)

// RunParallel calls do for 0 to n-1 on a number of concurrent workers and joins the errors.
func RunParallel(n, workers int, do func(i int) error) error {
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
