package org.kumquatvane.cli.files;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.cli.Console;
import org.kumquatvane.settings.Secret;

class SecretFilesTest {
  /** Guards against weak or broken secrets from files, and against secrets in messages. */
  @ParameterizedTest
  @CsvSource({
    "0123456789abcdef, true", "' 0123456789abcdef\n', true", "0123456789abcde, false",
    "0123456 789abcdef, false", "0123456789abcd\u00e9f, false", "'', false"
  })
  void checksTheForm(String content, boolean accepted, @TempDir Path directory) throws IOException {
    Path file = Files.writeString(directory.resolve("secret"), content);
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    PrintStream printed = new PrintStream(err, true, StandardCharsets.UTF_8);
    Optional<String> secret =
        SecretFiles.read(new Secret.InFile(file), new Console(printed, printed));
    assertEquals(accepted ? Optional.of(content.strip()) : Optional.empty(), secret);
    assertEquals(accepted, err.size() == 0);
    assertFalse(err.toString(StandardCharsets.UTF_8).contains("0123456"));
  }
}
