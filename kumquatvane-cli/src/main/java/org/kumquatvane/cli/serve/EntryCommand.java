package org.kumquatvane.cli.serve;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.kumquatvane.cli.Command;
import org.kumquatvane.cli.Console;
import org.kumquatvane.cli.ExitCode;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.server.EntryServer;
import org.kumquatvane.settings.EntrySettings;
import org.kumquatvane.settings.EntrySettingsParser;
import org.kumquatvane.settings.SettingsResult;

/**
 * Runs an entry VM on the users' platform until a signal or an operator requests a planned stop.
 */
@Parameters(commandDescription = "Run an entry VM on the users' platform")
public final class EntryCommand implements Command {
  /** Name of the command. */
  public static final String NAME = "entry";

  private final Supplier<StopRequests> stopRequests;
  private final ReloadRequests reloads;

  @Parameter(
      names = "--settings",
      description = "file with the settings of this VM; reloaded on SIGHUP",
      required = true)
  private Path settingsFile = Path.of("settings.jsonc");

  @Parameter(names = "--check", description = "only check the settings and print every fault")
  private boolean checkOnly;

  @Parameter(
      names = "--run-seconds",
      description =
          "start the planned stop after this time; for trial runs and the class-data archive")
  private int runSeconds;

  /**
   * Creates the command.
   *
   * @param stopRequests creates the source of stop requests when the command runs
   * @param reloads requests to reload the settings
   */
  public EntryCommand(Supplier<StopRequests> stopRequests, ReloadRequests reloads) {
    this.stopRequests = stopRequests;
    this.reloads = reloads;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public List<Example> examples() {
    return List.of(
        new Example("run a VM", "entry --settings /etc/kumquatvane/boot.json"),
        new Example("check its settings", "entry --settings /etc/kumquatvane/boot.json --check"));
  }

  @Override
  public List<ExitCode> exitCodes() {
    return VmProcess.EXIT_CODES;
  }

  @Override
  public ExitCode run(Console console) {
    VmProcess<EntrySettings> process =
        new VmProcess<>(settingsFile, new EntrySettingsParser()::parse, console);
    return process.withSettings(settings -> checkOrServe(settings, process, console));
  }

  private ExitCode checkOrServe(
      EntrySettings settings, VmProcess<EntrySettings> process, Console console) {
    if (checkOnly) {
      console.out().println(settingsFile + ": valid");
      return ExitCode.OK;
    }
    EventLog eventLog = VmProcess.initializeRuntime(settings.vmName(), settings.assertions());
    StopRequests stops = stopRequests.get();
    return process.run(
        EntryServer.start(settings, eventLog, stops::request),
        server -> {
          reloads.onRequest(() -> reload(server, process, eventLog));
          awaitStop(stops);
          return server.stop();
        });
  }

  private void awaitStop(StopRequests stops) {
    if (runSeconds > 0) {
      stops.await(Duration.ofSeconds(runSeconds));
    } else {
      stops.await();
    }
  }

  /**
   * Applies the settings file again; logs the first fault of an invalid file and ignores the file.
   */
  private static void reload(
      EntryServer server, VmProcess<EntrySettings> process, EventLog eventLog) {
    Optional<SettingsResult<EntrySettings>> result = process.readSettings();
    if (result.isEmpty()) {
      return;
    }
    if (result.get() instanceof SettingsResult.Invalid<EntrySettings> invalid) {
      eventLog.record(
          EventLog.Level.WARNING,
          "settings_reloaded",
          LogField.of("outcome", "refused"),
          LogField.of("fault", invalid.faults().get(0)));
    } else {
      server.reload(((SettingsResult.Parsed<EntrySettings>) result.get()).settings());
    }
  }
}
