package org.kumquatvane.cli.trial;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.cli.Command;
import org.kumquatvane.cli.Console;
import org.kumquatvane.cli.ExitCode;
import org.kumquatvane.cli.files.InputFiles;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentDifference;
import org.kumquatvane.documents.DocumentParser;
import org.kumquatvane.documents.DocumentResult;
import org.kumquatvane.json.Fault;
import org.kumquatvane.json.FaultCollector;

/** Shows what a document would change, without putting it in force. */
@Parameters(
    commandDescription =
        "Show what a document would change against the one in force, without applying it")
public final class TrialCommand implements Command {
  @Parameter(
      names = "--in-force",
      description = "file of the document in force; required",
      required = true,
      order = 0)
  private @Nullable Path inForceFile;

  @Parameter(
      names = "--document",
      description = "file of the document to try; required",
      required = true,
      order = 1)
  private @Nullable Path documentFile;

  @Parameter(
      names = "--requests",
      description = "file of sampled requests whose decisions are compared",
      order = 2)
  private @Nullable Path requestsFile;

  @Override
  public String name() {
    return "trial";
  }

  @Override
  public List<Example> examples() {
    return List.of(
        new Example("list the changes", "trial --in-force current.jsonc --document next.jsonc"),
        new Example(
            "also compare decisions; requests.jsonc holds {\"requests\": [{\"method\": \"GET\","
                + " \"path\": \"/rota/7\", \"workspace\": \"ohakune-digester\"}]}",
            "trial --in-force current.jsonc --document next.jsonc --requests requests.jsonc"));
  }

  @Override
  public List<ExitCode> exitCodes() {
    return List.of(ExitCode.INVALID_INPUT, ExitCode.UNREACHABLE);
  }

  @Override
  public ExitCode run(Console console) {
    List<Path> files = new ArrayList<>();
    List<byte[]> inputs = new ArrayList<>();
    for (@Nullable Path file : new @Nullable Path[] {inForceFile, documentFile, requestsFile}) {
      if (file != null) {
        Optional<byte[]> bytes = InputFiles.read(file, console);
        if (bytes.isEmpty()) {
          return ExitCode.UNREACHABLE;
        }
        files.add(file);
        inputs.add(bytes.get());
      }
    }
    Optional<Document> before = parse(files.get(0), inputs.get(0), console);
    Optional<Document> after = parse(files.get(1), inputs.get(1), console);
    FaultCollector faults = new FaultCollector();
    List<SampleRequest> requests =
        files.size() < 3
            ? List.of()
            : SampleRequest.read(files.get(2).toString(), inputs.get(2), faults);
    print(faults.faults(), console);
    if (before.isEmpty() || after.isEmpty() || !faults.isEmpty()) {
      return ExitCode.INVALID_INPUT;
    }
    TrialReport report = new TrialReport();
    report.addDifference(DocumentDifference.between(before.get(), after.get()));
    if (files.size() == 3) {
      report.addDecisions(requests, before.get(), after.get());
    }
    console.out().print(report.text());
    return checkGeneration(before.get(), after.get(), console);
  }

  private static ExitCode checkGeneration(Document before, Document after, Console console) {
    if (after.generation() > before.generation() || after.digest().equals(before.digest())) {
      return ExitCode.OK;
    }
    console
        .out()
        .println(
            "the fleet would refuse this document: generation "
                + after.generation()
                + " is not above "
                + before.generation()
                + "; raise it");
    return ExitCode.INVALID_INPUT;
  }

  private static Optional<Document> parse(Path file, byte[] bytes, Console console) {
    DocumentResult result =
        new DocumentParser().parse(file.toString(), bytes, InputFiles.siblingFragments(file));
    if (result instanceof DocumentResult.Invalid invalid) {
      print(invalid.faults(), console);
      return Optional.empty();
    }
    return Optional.of(((DocumentResult.Parsed) result).document());
  }

  private static void print(List<Fault> faults, Console console) {
    faults.forEach(fault -> console.out().println(fault));
  }
}
