package org.kumquatvane.cli.files;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.kumquatvane.cli.Console;
import org.kumquatvane.documents.FragmentSource;
import org.kumquatvane.json.JsonLimits;

/** Reads input files without holding more than the parsers accept. */
public final class InputFiles {
  private InputFiles() {}

  /**
   * Reads a file; of a longer one than the parsers accept only enough for them to refuse it.
   *
   * @param file the file
   * @param console receives why it cannot be read
   * @return the bytes, or empty if it cannot be read
   */
  public static Optional<byte[]> read(Path file, Console console) {
    try (InputStream input = Files.newInputStream(file)) {
      return Optional.of(input.readNBytes(JsonLimits.STANDARD.maximumBytes() + 1));
    } catch (IOException e) {
      console.err().println(file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
      console.err().println("check the path and the permissions of the file");
      return Optional.empty();
    }
  }

  /**
   * Returns the fragments that stand as files beside a document.
   *
   * @param document file of the main bytes
   * @return gives the file with the fragment's name in the same directory
   */
  public static FragmentSource siblingFragments(Path document) {
    Path directory = document.toAbsolutePath().getParent();
    return reference -> {
      if (directory == null) {
        return Optional.empty();
      }
      // Names of fragments have no separators and do not start with a dot.
      Path file = directory.resolve(reference.name());
      try (InputStream input = Files.newInputStream(file)) {
        return Optional.of(input.readNBytes(JsonLimits.STANDARD.maximumBytes() + 1));
      } catch (IOException e) {
        return Optional.empty();
      }
    };
  }
}
