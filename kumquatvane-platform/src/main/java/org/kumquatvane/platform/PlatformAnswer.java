package org.kumquatvane.platform;

/** Answer of the platform to one call. */
public sealed interface PlatformAnswer {
  /**
   * The value as it is now.
   *
   * @param value version and bytes
   */
  record Current(PlatformValue value) implements PlatformAnswer {}

  /** The version did not change during the wait. */
  record Unchanged() implements PlatformAnswer {}

  /** No such value exists. */
  record Absent() implements PlatformAnswer {}

  /**
   * The platform could not be reached or gave no valid answer.
   *
   * @param detail what went wrong
   */
  record Unavailable(String detail) implements PlatformAnswer {}
}
