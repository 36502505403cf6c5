package org.kumquatvane.settings;

import java.nio.file.Path;

/** A secret, or the file that holds it. Text forms never show the secret. */
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
   * A file whose content without surrounding white space is the secret.
   *
   * @param path the file
   */
  record InFile(Path path) implements Secret {}
}
