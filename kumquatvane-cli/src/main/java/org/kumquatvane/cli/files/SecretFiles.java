package org.kumquatvane.cli.files;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.Optional;
import org.kumquatvane.cli.Console;
import org.kumquatvane.settings.Secret;

/** Reads secrets that the settings give as text or as a file. */
public final class SecretFiles {
  private static final int MINIMUM_LENGTH = 16;
  private static final int MAXIMUM_LENGTH = 1_024;

  private SecretFiles() {}

  /**
   * Returns a secret; a file's content is taken without surrounding white space and has the same
   * form as a secret in the settings.
   *
   * @param secret the secret
   * @param console receives why it cannot be used; the secret itself is never printed
   * @return the text, or empty if the file cannot be read or has another form
   */
  public static Optional<String> read(Secret secret, Console console) {
    if (secret instanceof Secret.Text text) {
      return Optional.of(text.value());
    }
    Secret.InFile file = (Secret.InFile) secret;
    try (InputStream input = Files.newInputStream(file.path())) {
      // White space around the longest secret fits twice, more is not expected.
      byte[] bytes = input.readNBytes(3 * MAXIMUM_LENGTH);
      String content = new String(bytes, StandardCharsets.UTF_8).strip();
      if (content.length() >= MINIMUM_LENGTH
          && content.length() <= MAXIMUM_LENGTH
          && content.chars().allMatch(character -> character > ' ' && character <= '~')) {
        return Optional.of(content);
      }
      console
          .err()
          .println(
              file.path()
                  + ": the secret has a wrong form; write 16 to 1024 printable characters without"
                  + " spaces");
    } catch (IOException e) {
      console.err().println(file.path() + ": cannot be read; check the path and the permissions");
    }
    return Optional.empty();
  }
}
