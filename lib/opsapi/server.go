package opsapi

import (
	"context"
	"expvar"
	"net/http"
	"net/http/pprof"

	"github.com/labstack/echo/v4"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/node"
)

// NewHandler returns the handler of the operators' listener: the API under /v1, expvar and pprof under /debug.
func NewHandler(n *node.Node) http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	c := controller{node: n}
	e.GET("/v1/status", c.status)
	e.GET("/v1/rules", c.rules)
	e.GET("/v1/explain", c.explain)
	e.GET("/v1/histogram", c.histogram)
	e.GET("/v1/quota", c.quota)
	e.POST("/v1/drain", c.drain)
	e.POST("/v1/undrain", c.undrain)
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	e.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	return e
}

type controller struct {
	node *node.Node
}

func (c controller) status(ec echo.Context) error {
	return ec.JSON(http.StatusOK, NewStatus(c.node))
}

func (c controller) rules(ec echo.Context) error {
	r := Rules{}
	if set := c.node.Rules(); set != nil {
		r.Version, r.Text = set.Version(), set.Print()
	}
	return ec.JSON(http.StatusOK, r)
}

func (c controller) explain(ec echo.Context) error {
	r := call.NewRequest("", ec.QueryParam("method"), ec.QueryParam("path"), "").
		WithKey(ec.QueryParam("key")).WithOrganisation(ec.QueryParam("organisation"))
	return ec.JSON(http.StatusOK, Explanation{Lines: c.node.Explain(r)})
}

func (c controller) histogram(ec echo.Context) error {
	return ec.JSON(http.StatusOK, NewHistograms(c.node))
}

func (c controller) quota(ec echo.Context) error {
	return ec.JSON(http.StatusOK, NewQuotas(c.node))
}

func (c controller) drain(ec echo.Context) error {
	c.node.Drain(context.WithoutCancel(ec.Request().Context()))
	return c.status(ec)
}

func (c controller) undrain(ec echo.Context) error {
	c.node.Undrain()
	return c.status(ec)
}

// Publish adds a node's status and histograms to expvar. As expvar's names are global, a process can publish one node only.
func Publish(n *node.Node) {
	expvar.Publish("status", expvar.Func(func() any { return NewStatus(n) }))
	expvar.Publish("histograms", expvar.Func(func() any { return NewHistograms(n) }))
	expvar.Publish("quotas", expvar.Func(func() any { return NewQuotas(n) }))
}
