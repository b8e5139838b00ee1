// Package conns keeps HTTP/1.1 connections to one backend server and sends each request on them exactly once.
//
// The client of net/http sends some requests again by itself when a kept connection turns out to be closed; here every
// exchange is one attempt, and its end says whether the request can have reached the server.
package conns
