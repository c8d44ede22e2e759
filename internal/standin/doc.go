// Package standin plays the platform and the backend servers over real
// sockets: a table service that speaks DynamoDB's JSON 1.0 protocol, an object
// store that speaks S3's REST protocol, a cloud that speaks EC2's Query
// protocol, model engines and plain backend servers. Each keeps its own record
// of what it was asked to do and has switches for faults. The stand-ins know
// nothing of the system's policy.
package standin
