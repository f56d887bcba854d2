/**
 * Benchmarks, run with {@code standlink bench}: decisions on seeded traces, routing, the cost of
 * placement decisions, marginal costs for capacity planning, and the path of a request.
 */
package org.standlink.benchmark;
