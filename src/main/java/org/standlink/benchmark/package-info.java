/**
 * Measurements that anyone can repeat with {@code standlink bench}: decisions on seeded traces,
 * routing, cost of decisions, slopes for the capacity page, and the path of a request.
 */
package org.standlink.benchmark;
