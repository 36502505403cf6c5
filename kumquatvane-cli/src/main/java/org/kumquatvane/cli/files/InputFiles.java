package org.kumquatvane.cli.files;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.kumquatvane.cli.Console;
import org.kumquatvane.documents.FragmentSource;
import org.kumquatvane.json.JsonLimits;

/** Reads input files into memory, up to the size that the parsers accept. */
public final class InputFiles {
  private InputFiles() {}

  /**
   * Reads at most one byte more than the parsers accept, so that they reject a longer file.
   *
   * @param file the file
   * @param console receives the error message if the file cannot be read
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
   * Returns a source that reads fragments from the directory of a document.
   *
   * @param document file of the document
   * @return a source that reads the file with the name of the fragment
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
