/**
 * Typed messages between standlink's own processes: MessagePack in frames over TCP.
 *
 * <p>A frame is a four-byte length followed by one {@link org.standlink.wire.Frame} in MessagePack.
 * An answer carries the number of the call it answers and comes back on the same connection; order
 * means nothing.
 */
package org.standlink.wire;
