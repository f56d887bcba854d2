/**
 * Who leads a cell: claims in the store, which every process follows, and the candidates that make
 * them.
 */
package org.standlink.election;
