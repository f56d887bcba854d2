/**
 * Small stand-ins for the platform, its workers and the upstreams, for trials and tests only.
 *
 * <p>Each stand-in has an in-memory core that implements the port, and a server that speaks the
 * protocol of the port's HTTP adapter. Only the command line, the benchmarks and the tests use this
 * package.
 */
package org.standlink.standin;
