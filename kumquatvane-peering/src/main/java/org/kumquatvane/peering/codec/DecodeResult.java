package org.kumquatvane.peering.codec;

import org.kumquatvane.core.PeerMessage;

/** Outcome of decoding a frame. */
public sealed interface DecodeResult {
  /**
   * A message of a known type.
   *
   * @param metricLabel name of the type in counters
   * @param message the message
   */
  record Message(String metricLabel, PeerMessage message) implements DecodeResult {}

  /**
   * A type that this version does not know; skipped.
   *
   * @param type its number
   */
  record UnknownType(int type) implements DecodeResult {}

  /**
   * Bytes that are no valid message.
   *
   * @param detail what is wrong
   */
  record Malformed(String detail) implements DecodeResult {}
}
