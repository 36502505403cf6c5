package org.kumquatvane.cli.serve;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.kumquatvane.cli.Command;
import org.kumquatvane.cli.Console;
import org.kumquatvane.cli.ExitCode;
import org.kumquatvane.cli.files.InputFiles;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.json.Fault;
import org.kumquatvane.server.EntryServer;
import org.kumquatvane.server.EntryStartResult;
import org.kumquatvane.server.ServerClosing;
import org.kumquatvane.settings.EntrySettings;
import org.kumquatvane.settings.EntrySettingsParser;
import org.kumquatvane.settings.EntrySettingsResult;
import org.kumquatvane.telemetry.FloggerEventLog;
import org.kumquatvane.telemetry.LogSetup;

/**
 * Runs an entry VM on the users' platform until a signal or an operator asks for a planned stop.
 */
@Parameters(commandDescription = "Run an entry VM on the users' platform")
public final class EntryCommand implements Command {
  private final Supplier<StopRequests> stopRequests;
  private final Consumer<Runnable> onReloadSignal;

  @Parameter(
      names = "--settings",
      description = "file with the settings of this VM; read again on SIGHUP",
      required = true)
  private Path settingsFile = Path.of("settings.jsonc");

  @Parameter(names = "--check", description = "only check the settings and name every fault")
  private boolean onlyCheck;

  @Parameter(
      names = "--run-seconds",
      description = "stop as planned after this time; for trial runs and the class-data archive")
  private int runSeconds;

  /**
   * Creates the command.
   *
   * @param stopRequests tells when the process is to stop; asked for when the command runs
   * @param onReloadSignal installs what is to be done when the settings have changed
   */
  public EntryCommand(Supplier<StopRequests> stopRequests, Consumer<Runnable> onReloadSignal) {
    this.stopRequests = stopRequests;
    this.onReloadSignal = onReloadSignal;
  }

  @Override
  public String name() {
    return "entry";
  }

  @Override
  public List<Example> examples() {
    return List.of(
        new Example("run a VM", "entry --settings /etc/kumquatvane/boot.json"),
        new Example("check its settings", "entry --settings /etc/kumquatvane/boot.json --check"));
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
    EntrySettingsResult result =
        new EntrySettingsParser().parse(settingsFile.toString(), bytes.get());
    if (result instanceof EntrySettingsResult.Invalid invalid) {
      for (Fault fault : invalid.faults()) {
        console.err().println(fault);
      }
      return ExitCode.INVALID_INPUT;
    }
    if (onlyCheck) {
      console.out().println(settingsFile + ": valid");
      return ExitCode.OK;
    }
    return serve(((EntrySettingsResult.Parsed) result).settings(), console);
  }

  private ExitCode serve(EntrySettings settings, Console console) {
    if (settings.assertions()) {
      // Read by RankedLock when its class is loaded, which happens after this point.
      System.setProperty("kumquatvane.assertions", "true");
    }
    LogSetup.install(settings.vmName());
    EventLog eventLog = new FloggerEventLog();
    StopRequests stops = stopRequests.get();
    EntryStartResult started = EntryServer.start(settings, eventLog, stops::request);
    if (started instanceof EntryStartResult.Failed failed) {
      console.err().println(failed.problem());
      return ExitCode.UNREACHABLE;
    }
    EntryServer server = ((EntryStartResult.Started) started).server();
    onReloadSignal.accept(() -> reload(server, console, eventLog));
    if (runSeconds > 0) {
      stops.await(Duration.ofSeconds(runSeconds));
    } else {
      stops.await();
    }
    ServerClosing closing = server.stop();
    return closing == ServerClosing.COMPLETE ? ExitCode.OK : ExitCode.DRAIN_DEADLINE;
  }

  /** Settings with faults change nothing; the faults are logged. */
  private void reload(EntryServer server, Console console, EventLog eventLog) {
    Optional<byte[]> bytes = InputFiles.read(settingsFile, console);
    if (bytes.isEmpty()) {
      return;
    }
    EntrySettingsResult result =
        new EntrySettingsParser().parse(settingsFile.toString(), bytes.get());
    if (result instanceof EntrySettingsResult.Parsed parsed) {
      server.reload(parsed.settings());
    } else {
      eventLog.record(
          EventLog.Level.WARNING,
          "settings_reloaded",
          LogField.of("outcome", "refused"),
          LogField.of("fault", ((EntrySettingsResult.Invalid) result).faults().get(0)));
    }
  }
}
