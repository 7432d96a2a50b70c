// Package commands implements the command line of tamarackstandin, one process
// that serves the platform on one address and each engine and plain service
// instance on its own port.
//
// The platform's address serves:
//
//	POST   /log/append           appends the body; responds {"offset":1}
//	GET    /log/read             query from, limit, waitMillis
//	GET    /hosts                the host list as it was --hostListLag ago
//	PUT    /hosts/<name>         lists a host: role, address, peerAddress,
//	                             failureDomain, leaving
//	DELETE /hosts/<name>         drops a host
//	GET    /faults               faults of stores and endpoints
//	POST   /faults               replaces the faults of one part
//	GET    /store                counts of each deployment's weight store
//	GET    /history              replicas, memory and runs over all endpoints
//	GET    /healthz              200 once all addresses are open
//
// The body of POST /faults is an object with the field name and the faults that
// stay on; faults that are left out are switched off:
//
//	log                 readsDown, appendsDown, hang, delayMillis, loseAnswers
//	                    (number of appends)
//	hosts               down, lagMillis (replaces --hostListLag)
//	store               speed (factor; 1 is full speed, 0 stops all loads)
//	store/<deployment>  as store, for one deployment
//	<endpoint>          leaving, die (refuses connections, empties accelerator
//	                    memory and leaves the host list), hang, slow (factor on
//	                    delays), cut (closes connections in the middle of
//	                    responses), truncate (ends streams without the terminal
//	                    marker), refuse (503 with "Run: notRun"), loseAnswer
//	                    (drops the connection after the effect of an order or a
//	                    service request), delayOrderMillis (delays the effect)
package commands
