// Package intake bounds what callers can make a process hold: the bytes of requests that it has
// read, and connections. A [Gate] has one budget of bytes for all its listeners. Bytes count as
// they arrive, and until the request is answered. If the budget is full, the unfinished requests
// that make the least progress are ended, see [Gate.Listener]; one whose handler reads the body
// with [ReadBody] gets [ErrCrowded] and can still be refused.
//
// # Usage
//
//	gate := intake.New(intake.LimitsOf(memoryBytes, descriptors), log)
//	server := &http.Server{Handler: handler}
//	gate.Guard(server)
//	err := server.Serve(gate.Listener(listener))
//
//	body, err := intake.ReadBody(r, limit)
//	switch {
//	case errors.Is(err, intake.ErrCrowded):  // refuse the request, it has not run
//	case errors.Is(err, intake.ErrTooLong):
//	}
package intake
