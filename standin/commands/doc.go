// Package commands implements the command line of tamarackstandin, a process
// that simulates the platform on one address and each engine and plain service
// instance on a port of its own.
//
// The platform's address serves:
//
//	POST   /log/append           appends the body; responds {"offset":1}
//	GET    /log/read             query from, limit, waitMillis
//	GET    /hosts                the host list, delayed by --hostListLag
//	PUT    /hosts/<name>         adds or replaces a host: role, address, peerAddress,
//	                             failureDomain, leaving
//	DELETE /hosts/<name>         removes a host
//	GET    /faults               current faults of stores and endpoints
//	POST   /faults               replaces the faults of one component
//	GET    /store                counts of each deployment's weight store
//	GET    /history              replicas, memory and executions over all endpoints
//	GET    /healthz              200 once all listeners are open
//
// The body of POST /faults is an object with the faults to set for one component,
// which its field "name" selects. Faults that the object omits are cleared:
//
//	log                 readsDown, appendsDown, hang, delayMillis, loseAnswers
//	                    (number of appends)
//	hosts               down, lagMillis (replaces --hostListLag)
//	store               speed (factor; 1 is full speed, 0 stops all loads)
//	store/<deployment>  same as store, for one deployment
//	<endpoint>          leaving, die (refuses connections, clears accelerator
//	                    memory and is removed from the host list), hang, slow
//	                    (factor on delays), cut (closes connections in the
//	                    middle of a response), truncate (ends streams without
//	                    the terminal marker), refuse (503 with "Run: notRun"),
//	                    loseAnswer (closes the connection after an order or a
//	                    service request took effect), delayOrderMillis (delays
//	                    the effect of orders and service requests)
package commands
