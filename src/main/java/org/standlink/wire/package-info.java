/**
 * Typed messages between standlink processes: MessagePack in frames over TCP.
 *
 * <p>A frame is a four-byte length followed by one {@link org.standlink.wire.Frame} in MessagePack.
 * An answer carries the number of its call and is sent over the same connection. Answers may arrive
 * in any order.
 */
package org.standlink.wire;
