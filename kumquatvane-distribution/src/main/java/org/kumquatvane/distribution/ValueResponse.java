package org.kumquatvane.distribution;

/** Response of the platform to a request for a value. */
public sealed interface ValueResponse {
  /**
   * The value.
   *
   * @param version version assigned by the platform
   * @param bytes its content; not copied, so callers must not modify it
   */
  @SuppressWarnings("ArrayRecordComponent") // Never compared; a copy would cost up to a megabyte.
  record Current(long version, byte[] bytes) implements ValueResponse {}

  /** The value did not change during the wait. */
  record Unchanged() implements ValueResponse {}

  /** No such value exists. */
  record Absent() implements ValueResponse {}

  /**
   * The request failed or the response was not valid.
   *
   * @param detail description of the failure
   */
  record Unavailable(String detail) implements ValueResponse {}
}
