package org.kumquatvane.cli.serve;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.kumquatvane.cli.Command;
import org.kumquatvane.cli.Console;
import org.kumquatvane.cli.ExitCode;
import org.kumquatvane.cli.files.InputFiles;
import org.kumquatvane.json.Fault;
import org.kumquatvane.server.ProxyServer;
import org.kumquatvane.server.ServerClosing;
import org.kumquatvane.server.StartResult;
import org.kumquatvane.settings.Settings;
import org.kumquatvane.settings.SettingsParser;
import org.kumquatvane.settings.SettingsResult;
import org.kumquatvane.telemetry.FloggerEventLog;
import org.kumquatvane.telemetry.LogSetup;

/** Runs a proxy process until a signal or an operator asks for a planned stop. */
@Parameters(commandDescription = "Run a proxy process on this VM")
public final class ServeCommand implements Command {
  private final Supplier<StopRequests> stopRequests;

  @Parameter(
      names = "--settings",
      description = "file with the settings of this VM",
      required = true)
  private Path settingsFile = Path.of("settings.jsonc");

  /**
   * Creates the command.
   *
   * @param stopRequests tells when the process is to stop; asked for when the command runs
   */
  public ServeCommand(Supplier<StopRequests> stopRequests) {
    this.stopRequests = stopRequests;
  }

  @Override
  public String name() {
    return "serve";
  }

  @Override
  public List<Example> examples() {
    return List.of(new Example("run a VM", "serve --settings /etc/kumquatvane/settings.jsonc"));
  }

  @Override
  public List<ExitCode> exitCodes() {
    return List.of(
        ExitCode.INVALID_INPUT,
        ExitCode.UNREACHABLE,
        ExitCode.DRAIN_DEADLINE,
        ExitCode.SECOND_SIGNAL);
  }

  @Override
  public ExitCode run(Console console) {
    Optional<byte[]> bytes = InputFiles.read(settingsFile, console);
    if (bytes.isEmpty()) {
      return ExitCode.UNREACHABLE;
    }
    SettingsResult result = new SettingsParser().parse(settingsFile.toString(), bytes.get());
    if (result instanceof SettingsResult.Invalid invalid) {
      for (Fault fault : invalid.faults()) {
        console.err().println(fault);
      }
      return ExitCode.INVALID_INPUT;
    }
    return serve(((SettingsResult.Parsed) result).settings(), console);
  }

  private ExitCode serve(Settings settings, Console console) {
    if (settings.assertions()) {
      // Read by RankedLock when its class is loaded, which happens after this point.
      System.setProperty("kumquatvane.assertions", "true");
    }
    LogSetup.install(settings.vmId().value());
    StopRequests stops = stopRequests.get();
    StartResult started = ProxyServer.start(settings, new FloggerEventLog(), stops::request);
    if (started instanceof StartResult.Failed failed) {
      console.err().println(failed.problem());
      return ExitCode.UNREACHABLE;
    }
    stops.await();
    ServerClosing closing = ((StartResult.Started) started).server().stop();
    return closing == ServerClosing.COMPLETE ? ExitCode.OK : ExitCode.DRAIN_DEADLINE;
  }
}
