/**
 * Small stand-ins of the platform, its workers and the upstreams, for trials and tests only.
 *
 * <p>Each stand-in has an in-memory core behind the port's interface and a server that speaks the
 * protocol of the port's HTTP adapter. Only the command line and tests use this package.
 */
package org.standlink.standin;
