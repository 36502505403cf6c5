package org.kumquatvane.verification.process;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.HexFormat;
import java.util.UUID;

/** Caller keys and operation keys of the tests. */
final class TestKeys {
  private TestKeys() {}

  /** Derives a caller's key deterministically from a name. */
  static String callerKey(String name) {
    return "kv1_" + Base64.getUrlEncoder().withoutPadding().encodeToString(sha256(name));
  }

  static String digest(String key) {
    return HexFormat.of().formatHex(sha256(key));
  }

  /** Creates a UUIDv7 with the current time. */
  static String newOperationKey() {
    UUID random = UUID.randomUUID();
    long high =
        (System.currentTimeMillis() << 16) | 0x7000 | (random.getMostSignificantBits() & 0xFFF);
    return new UUID(high, random.getLeastSignificantBits()).toString();
  }

  private static byte[] sha256(String text) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
