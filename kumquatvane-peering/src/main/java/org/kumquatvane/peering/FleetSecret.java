package org.kumquatvane.peering;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Secret shared by all VMs of a fleet. {@link #toString} does not reveal it. */
public final class FleetSecret {
  /** Minimum length; a shorter secret could be brute-forced from one recorded handshake. */
  public static final int MINIMUM_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final SecretKeySpec key;

  /**
   * Creates the secret.
   *
   * @param secret at least {@link #MINIMUM_BYTES} random bytes
   * @throws IllegalArgumentException if the secret is too short
   */
  public FleetSecret(byte[] secret) {
    if (secret.length < MINIMUM_BYTES) {
      throw new IllegalArgumentException(
          "the fleet secret needs at least " + MINIMUM_BYTES + " bytes");
    }
    key = new SecretKeySpec(secret, ALGORITHM);
  }

  /**
   * Computes the HMAC-SHA256 that proves knowledge of the secret.
   *
   * @param label role of the proving side, which prevents a reflected proof from being accepted
   * @param parts values that the proof covers, each prefixed with its length
   * @return 32 bytes
   */
  public byte[] computeProof(String label, List<byte[]> parts) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      update(mac, label.getBytes(StandardCharsets.UTF_8));
      parts.forEach(part -> update(mac, part));
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java runtime provides " + ALGORITHM, e);
    }
  }

  private static void update(Mac mac, byte[] part) {
    mac.update((byte) (part.length >>> 8));
    mac.update((byte) part.length);
    mac.update(part);
  }

  @Override
  public String toString() {
    return "FleetSecret[hidden]";
  }
}
