/**
 * Leader election of a cell: claims in the store, which every process reads, and the candidates
 * that write them.
 */
package org.standlink.election;
