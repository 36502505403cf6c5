package org.kumquatvane.http;

/** Notified of bytes of backend servers that belong to no response. */
@FunctionalInterface
public interface ExtraBytesListener {
  /**
   * Extra bytes were read. Called on an I/O thread; must not block.
   *
   * @param extraBytes the bytes and where they came
   */
  void onExtraBytes(ExtraBytes extraBytes);
}
