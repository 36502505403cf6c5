package org.kumquatvane.operations.internal;

import java.util.Locale;
import java.util.OptionalLong;
import java.util.UUID;
import org.kumquatvane.operations.Operation;

/** Reads the creation time in an idempotency key. */
public final class KeyTime {
  private static final int TEXT_LENGTH = 36;
  private static final int TIME_SHIFT = 16;
  private static final int RFC_VARIANT = 2;
  private static final int TIME_ORDERED_VERSION = 7;

  private KeyTime() {}

  /**
   * Returns the time at which a key was made.
   *
   * @param key the key as sent by the caller
   * @return milliseconds since the Unix epoch, or empty if the key is not a UUIDv7
   */
  public static OptionalLong of(String key) {
    if (key.length() != TEXT_LENGTH) {
      return OptionalLong.empty();
    }
    try {
      UUID uuid = UUID.fromString(key);
      boolean valid =
          uuid.version() == TIME_ORDERED_VERSION
              && uuid.variant() == RFC_VARIANT
              && uuid.toString().equalsIgnoreCase(key);
      return valid
          ? OptionalLong.of(uuid.getMostSignificantBits() >>> TIME_SHIFT)
          : OptionalLong.empty();
    } catch (IllegalArgumentException malformed) {
      return OptionalLong.empty();
    }
  }

  /**
   * Returns the operation with its key in lower case; a UUID may be written in either case.
   *
   * @param operation the operation as named by the caller
   * @return the same operation under its one name
   */
  public static Operation canonical(Operation operation) {
    String key = operation.idempotencyKey();
    String lower = key.toLowerCase(Locale.ROOT);
    return lower.equals(key)
        ? operation
        : new Operation(operation.workspace(), lower, operation.requestDigest());
  }
}
