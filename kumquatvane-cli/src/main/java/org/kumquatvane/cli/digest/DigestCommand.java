package org.kumquatvane.cli.digest;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kumquatvane.cli.Command;
import org.kumquatvane.cli.Console;
import org.kumquatvane.cli.ExitCode;
import org.kumquatvane.cli.files.FileArgumentValidator;
import org.kumquatvane.cli.files.InputFiles;
import org.kumquatvane.documents.DocumentParser;
import org.kumquatvane.json.JsonLimits;

/** Prints the digests that identify documents and fragments. */
@Parameters(commandDescription = "Print the SHA-256 digests of documents or fragments")
public final class DigestCommand implements Command {
  @Parameter(description = "<file>...", required = true, validateWith = FileArgumentValidator.class)
  private List<Path> files = new ArrayList<>();

  @Override
  public String name() {
    return "digest";
  }

  @Override
  public List<Example> examples() {
    return List.of(
        new Example("compare with the digest that a VM reports", "digest examples/ruapehu.jsonc"));
  }

  @Override
  public List<ExitCode> exitCodes() {
    return List.of(ExitCode.INVALID_INPUT, ExitCode.UNREACHABLE);
  }

  @Override
  public ExitCode run(Console console) {
    ExitCode worst = ExitCode.OK;
    for (Path file : files) {
      ExitCode code = digest(file, console);
      worst = code.compareTo(worst) > 0 ? code : worst;
    }
    return worst;
  }

  private static ExitCode digest(Path file, Console console) {
    Optional<byte[]> bytes = InputFiles.read(file, console);
    if (bytes.isEmpty()) {
      return ExitCode.UNREACHABLE;
    }
    int maximum = JsonLimits.STANDARD.maximumBytes();
    if (bytes.get().length > maximum) {
      console.err().println(file + ": more than " + maximum + " bytes; split it into fragments");
      return ExitCode.INVALID_INPUT;
    }
    console.out().println(DocumentParser.digest(bytes.get()) + "  " + file);
    return ExitCode.OK;
  }
}
