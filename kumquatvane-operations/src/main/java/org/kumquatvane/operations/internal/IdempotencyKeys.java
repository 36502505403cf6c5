package org.kumquatvane.operations.internal;

import java.util.Locale;
import java.util.OptionalLong;
import java.util.UUID;
import org.kumquatvane.operations.Operation;

/** Parses and normalizes idempotency keys. */
public final class IdempotencyKeys {
  private static final int UUID_TEXT_LENGTH = 36;
  private static final int TIMESTAMP_SHIFT = 16;
  private static final int UUID_VARIANT = 2;
  private static final int UUID_VERSION = 7;

  private IdempotencyKeys() {}

  /**
   * Returns the creation time of a key.
   *
   * @param key the key as sent by the caller
   * @return milliseconds since the Unix epoch, or empty if the key is not a UUIDv7
   */
  public static OptionalLong creationMillis(String key) {
    if (key.length() != UUID_TEXT_LENGTH) {
      return OptionalLong.empty();
    }
    try {
      UUID uuid = UUID.fromString(key);
      boolean valid =
          uuid.version() == UUID_VERSION
              && uuid.variant() == UUID_VARIANT
              && uuid.toString().equalsIgnoreCase(key);
      return valid
          ? OptionalLong.of(uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT)
          : OptionalLong.empty();
    } catch (IllegalArgumentException e) {
      return OptionalLong.empty();
    }
  }

  /**
   * Returns the operation with its key in lower case, since a UUID may be written in either case.
   *
   * @param operation the operation with the key as received
   * @return the same operation with the canonical key
   */
  public static Operation canonicalize(Operation operation) {
    String key = operation.idempotencyKey();
    String lower = key.toLowerCase(Locale.ROOT);
    return lower.equals(key)
        ? operation
        : new Operation(operation.workspace(), lower, operation.requestDigest());
  }
}
