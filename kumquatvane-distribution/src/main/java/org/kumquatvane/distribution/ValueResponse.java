package org.kumquatvane.distribution;

/** The platform's answer to a call for a value. */
public sealed interface ValueResponse {
  /**
   * The value.
   *
   * @param version version that the platform gave it
   * @param bytes its content; not copied, and changed by nobody
   */
  @SuppressWarnings("ArrayRecordComponent") // Never compared; a copy would cost up to a megabyte.
  record Current(long version, byte[] bytes) implements ValueResponse {}

  /** The version did not change during the wait. */
  record Unchanged() implements ValueResponse {}

  /** No such value exists. */
  record Absent() implements ValueResponse {}

  /**
   * No valid answer.
   *
   * @param detail what went wrong
   */
  record Unavailable(String detail) implements ValueResponse {}
}
