package org.kumquatvane.server.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.settings.Secret;

class SecretReaderTest {
  /**
   * Guards against short or malformed secrets from files, and against secrets in error messages.
   */
  @ParameterizedTest
  @CsvSource({
    "0123456789abcdef, true", "' 0123456789abcdef\n', true", "0123456789abcde, false",
    "0123456 789abcdef, false", "0123456789abcd\u00e9f, false", "'', false"
  })
  void acceptsOnlyWellFormedSecrets(String content, boolean accepted, @TempDir Path directory)
      throws IOException {
    Secret secret = new Secret.InFile(Files.writeString(directory.resolve("secret"), content));
    if (accepted) {
      assertEquals(content.strip(), SecretReader.read(secret));
    } else {
      IOException refused = assertThrows(IOException.class, () -> SecretReader.read(secret));
      assertFalse(String.valueOf(refused.getMessage()).contains("0123456"));
    }
  }
}
