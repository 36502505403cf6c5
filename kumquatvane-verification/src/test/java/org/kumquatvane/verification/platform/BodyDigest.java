package org.kumquatvane.verification.platform;

import java.util.zip.CRC32C;

/**
 * Length and checksum of a body, so that a run of many requests keeps no bodies.
 *
 * @param length number of bytes
 * @param checksum CRC-32C of the bytes
 */
record BodyDigest(int length, long checksum) {
  static BodyDigest of(byte[] body) {
    CRC32C checksum = new CRC32C();
    checksum.update(body);
    return new BodyDigest(body.length, checksum.getValue());
  }
}
