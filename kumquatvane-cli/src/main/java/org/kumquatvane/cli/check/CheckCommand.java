package org.kumquatvane.cli.check;

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
import org.kumquatvane.document.Document;
import org.kumquatvane.documents.DocumentParser;
import org.kumquatvane.documents.DocumentResult;
import org.kumquatvane.json.Fault;
import org.kumquatvane.settings.Settings;
import org.kumquatvane.settings.SettingsParser;
import org.kumquatvane.settings.SettingsResult;

/** Checks documents or settings and prints every fault. */
@Parameters(commandDescription = "Check documents or settings and print every fault")
public final class CheckCommand implements Command {
  @Parameter(description = "<file>...", required = true, validateWith = FileArgumentValidator.class)
  private List<Path> files = new ArrayList<>();

  @Parameter(
      names = "--settings",
      description = "the files are settings of VMs, not documents",
      order = 0)
  private boolean settings;

  @Override
  public String name() {
    return "check";
  }

  @Override
  public List<Example> examples() {
    return List.of(
        new Example(
            "check a document; fragments are files in its directory",
            "check examples/ruapehu.jsonc"),
        new Example("check the settings of a VM", "check --settings examples/settings.jsonc"));
  }

  @Override
  public List<ExitCode> exitCodes() {
    return List.of(ExitCode.INVALID_INPUT, ExitCode.UNREACHABLE);
  }

  @Override
  public ExitCode run(Console console) {
    ExitCode worst = ExitCode.OK;
    for (Path file : files) {
      Optional<byte[]> bytes = InputFiles.read(file, console);
      ExitCode code =
          bytes.isEmpty()
              ? ExitCode.UNREACHABLE
              : settings
                  ? checkSettings(file, bytes.get(), console)
                  : checkDocument(file, bytes.get(), console);
      worst = code.compareTo(worst) > 0 ? code : worst;
    }
    return worst;
  }

  private static ExitCode checkDocument(Path file, byte[] bytes, Console console) {
    DocumentResult result =
        new DocumentParser().parse(file.toString(), bytes, InputFiles.siblingFragments(file));
    if (result instanceof DocumentResult.Invalid invalid) {
      return printFaults(file, invalid.faults(), console);
    }
    Document document = ((DocumentResult.Parsed) result).document();
    console
        .out()
        .printf(
            "%s: valid document, generation %d, %d workspaces, %d services, %d routes, sha256 %s%n",
            file,
            document.generation(),
            document.workspaces().size(),
            document.services().size(),
            document.routes().size(),
            document.digest());
    return ExitCode.OK;
  }

  private static ExitCode checkSettings(Path file, byte[] bytes, Console console) {
    SettingsResult<Settings> result = new SettingsParser().parse(file.toString(), bytes);
    if (result instanceof SettingsResult.Invalid<Settings> invalid) {
      return printFaults(file, invalid.faults(), console);
    }
    String vm = ((SettingsResult.Parsed<Settings>) result).settings().vmId().value();
    console.out().printf("%s: valid settings of VM %s%n", file, vm);
    return ExitCode.OK;
  }

  private static ExitCode printFaults(Path file, List<Fault> faults, Console console) {
    faults.forEach(fault -> console.out().println(fault));
    console
        .out()
        .printf("%s: %d %s%n", file, faults.size(), faults.size() == 1 ? "fault" : "faults");
    return ExitCode.INVALID_INPUT;
  }
}
