package org.kumquatvane.peering.codec;

import org.kumquatvane.core.PeerMessage;

/** Outcome of decoding a frame. */
public sealed interface Decoded {
  /**
   * A message of a known type.
   *
   * @param kind name of the type in counters
   * @param message the message
   */
  record Message(String kind, PeerMessage message) implements Decoded {}

  /**
   * A type that this version does not know; skipped.
   *
   * @param type its number
   */
  record UnknownType(int type) implements Decoded {}

  /**
   * Bytes that are no valid message.
   *
   * @param detail what is wrong
   */
  record Malformed(String detail) implements Decoded {}
}
