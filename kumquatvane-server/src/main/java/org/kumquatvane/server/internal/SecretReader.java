package org.kumquatvane.server.internal;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import org.kumquatvane.settings.Secret;

/** Reads secrets that settings name. */
public final class SecretReader {
  private SecretReader() {}

  /**
   * Returns a secret.
   *
   * @param secret the secret or its file
   * @return its text
   * @throws IOException if the file cannot be read
   */
  public static String read(Secret secret) throws IOException {
    if (secret instanceof Secret.Text text) {
      return text.value();
    }
    return Files.readString(((Secret.InFile) secret).path(), StandardCharsets.UTF_8).strip();
  }
}
