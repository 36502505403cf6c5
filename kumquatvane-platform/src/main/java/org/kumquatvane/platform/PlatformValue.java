package org.kumquatvane.platform;

/** A value of the configuration service. Immutable. */
public final class PlatformValue {
  private final long version;
  private final byte[] bytes;

  /**
   * Creates a value.
   *
   * @param version version that the platform gave it
   * @param bytes its content; copied
   */
  public PlatformValue(long version, byte[] bytes) {
    this.version = version;
    this.bytes = bytes.clone();
  }

  /**
   * Returns the version.
   *
   * @return version that the platform gave it
   */
  public long version() {
    return version;
  }

  /**
   * Returns the content.
   *
   * @return a copy
   */
  public byte[] bytes() {
    return bytes.clone();
  }
}
