// Package standin simulates the platform and the backend servers for tests and
// demos, over real sockets: a table service with DynamoDB's JSON 1.0 protocol, an
// object store with S3's REST protocol, a cloud with EC2's Query protocol, model
// engines and plain backend servers. Each stand-in records the calls that it
// receives and can inject faults. The stand-ins contain none of the system's
// policy.
package standin
