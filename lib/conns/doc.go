// Package conns pools HTTP/1.1 connections to one backend server and sends each request exactly once.
//
// The client of net/http resends some requests by itself when a pooled connection turns out to be closed. Here every
// exchange is one attempt, and its error shows whether the request can have reached the server.
//
// What a server sends is bounded: the head of each response, the bodies of answers to other requests, and the bodies that
// are read at a time, each and together.
//
// Lock order: a Pool has one lock; no other lock is held while it is taken, and none is taken under it.
package conns
