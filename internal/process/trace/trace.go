// Package trace records a span for each hop of a datagram, and propagates the
// context from hop to hop in the envelope.
//
// Every opening datagram is traced, and a sampled share of the rest: the spans of
// a flow of hours would otherwise hide those that show how it was routed.
//
// # Usage
//
//	t := trace.New(provider, share)
//	if t.Sampled(opening, random) {
//		context := t.Hop(nil, "balancer.forward", trace.Hop{...})
//		envelope.Trace = context
//	}
//
// A nil *Tracer records nothing.
package trace

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// contextSize is the size of a trace identifier and a span identifier.
const contextSize = 16 + 8

// Tracer records hops.
type Tracer struct {
	tracer oteltrace.Tracer
	share  float64
}

// Hop holds the attributes of the span of one hop.
type Hop struct {
	Service uint32
	Target  uint32
	Caller  string
	Outcome string
}

// New returns a tracer that samples a share of the datagrams that open no flow.
func New(p *sdk.TracerProvider, share float64) *Tracer {
	return &Tracer{tracer: p.Tracer("wagtailtray"), share: share}
}

// Sampled reports, at the first hop, whether a datagram is traced; random is
// uniformly distributed in [0, 1).
func (t *Tracer) Sampled(opening bool, random float64) bool {
	return t != nil && (opening || random < t.share)
}

// Hop records one hop and returns the context for the next one. Without a
// parent it starts a trace.
func (t *Tracer) Hop(parent []byte, name string, h Hop) []byte {
	if t == nil {
		return parent
	}
	ctx := context.Background()
	if p, ok := decode(parent); ok {
		ctx = oteltrace.ContextWithRemoteSpanContext(ctx, p)
	}
	_, span := t.tracer.Start(ctx, name, oteltrace.WithAttributes(
		attribute.Int64("service", int64(h.Service)),
		attribute.Int64("target", int64(h.Target)),
		attribute.String("caller", h.Caller),
		attribute.String("outcome", h.Outcome),
	))
	span.End()
	return encode(span.SpanContext())
}

func encode(c oteltrace.SpanContext) []byte {
	trace, span := c.TraceID(), c.SpanID()
	return append(trace[:], span[:]...)
}

func decode(b []byte) (oteltrace.SpanContext, bool) {
	if len(b) != contextSize {
		return oteltrace.SpanContext{}, false
	}
	return oteltrace.NewSpanContext(oteltrace.SpanContextConfig{
		TraceID: oteltrace.TraceID(b[:16]), SpanID: oteltrace.SpanID(b[16:]),
		TraceFlags: oteltrace.FlagsSampled, Remote: true,
	}), true
}
