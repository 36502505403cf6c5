package org.kumquatvane.server.internal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kumquatvane.settings.Secret;

/** Reads secrets that the settings contain or refer to. */
public final class SecretReader {
  private static final int MINIMUM_LENGTH = 16;
  private static final int MAXIMUM_LENGTH = 1_024;

  /** Allows for surrounding white space of up to twice the maximum length of a secret. */
  private static final int MAXIMUM_READ_BYTES = 3 * MAXIMUM_LENGTH;

  private SecretReader() {}

  /**
   * Returns a secret. The content of a file is stripped of surrounding white space and must have
   * the same format as a secret in the settings.
   *
   * @param secret the secret or a reference to its file
   * @return the value of the secret
   * @throws IOException if the file cannot be read or its content is malformed; the message names
   *     the remedy and never contains the secret
   */
  public static String read(Secret secret) throws IOException {
    return secret instanceof Secret.Text text
        ? text.value()
        : readFile(((Secret.InFile) secret).path());
  }

  private static String readFile(Path path) throws IOException {
    String content;
    try (InputStream input = Files.newInputStream(path)) {
      content = new String(input.readNBytes(MAXIMUM_READ_BYTES), StandardCharsets.UTF_8).strip();
    } catch (IOException e) {
      throw new IOException(path + ": cannot be read; check the path and the permissions", e);
    }
    boolean isWellFormed =
        content.length() >= MINIMUM_LENGTH
            && content.length() <= MAXIMUM_LENGTH
            && content.chars().allMatch(character -> character > ' ' && character <= '~');
    if (!isWellFormed) {
      throw new IOException(
          path
              + ": the secret does not have the required format; write 16 to 1024 printable"
              + " characters without spaces");
    }
    return content;
  }
}
