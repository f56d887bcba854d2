/**
 * Adapter to the users' platform: its names, formats and protocols. No scheduling decision is made
 * here.
 *
 * <p>Incoming messages are decoded once, into the project's own types, and outgoing messages are
 * encoded here. Other packages define the interfaces that these classes implement.
 */
package org.standlink.platform;
