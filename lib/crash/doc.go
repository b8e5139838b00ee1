// Package crash detects requests that crash the backend servers that run them ("queries of death"). Each endpoint records
// which requests were in flight when its backend server crashed; endpoints of a service share these records. A request
// that was in flight at one crash is a suspect, one that was in flight at two is refused. A fingerprint stands for the content of a
// request and its calling service: the same content of another service may be sound.
//
// Lock order: a Table's lock is taken alone.
package crash
