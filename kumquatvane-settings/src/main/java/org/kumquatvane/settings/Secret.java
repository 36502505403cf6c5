package org.kumquatvane.settings;

import java.nio.file.Path;

/** A secret, or the file that holds it. {@code toString} never returns the secret. */
public sealed interface Secret {
  /**
   * The secret itself.
   *
   * @param value the secret
   */
  record Text(String value) implements Secret {
    @Override
    public String toString() {
      return "Text[hidden]";
    }
  }

  /**
   * A file that holds the secret; surrounding white space is ignored.
   *
   * @param path the file
   */
  record InFile(Path path) implements Secret {}
}
