package org.kumquatvane.server.internal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kumquatvane.settings.Secret;

/** Reads secrets that settings name. */
public final class SecretReader {
  private static final int MINIMUM_LENGTH = 16;
  private static final int MAXIMUM_LENGTH = 1_024;

  /** White space around the longest secret fits twice, more is not expected. */
  private static final int MAXIMUM_READ_BYTES = 3 * MAXIMUM_LENGTH;

  private SecretReader() {}

  /**
   * Returns a secret; a file's content is taken without surrounding white space and has the same
   * form as a secret in the settings.
   *
   * @param secret the secret or its file
   * @return its text
   * @throws IOException if the file cannot be read or has another form; the message names the
   *     remedy and never holds the secret
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
              + ": the secret has a wrong form; write 16 to 1024 printable characters without"
              + " spaces");
    }
    return content;
  }
}
