package org.kumquatvane.cli.serve;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.kumquatvane.cli.Command;
import org.kumquatvane.cli.Console;
import org.kumquatvane.cli.ExitCode;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.server.EntryServer;
import org.kumquatvane.settings.EntrySettings;
import org.kumquatvane.settings.EntrySettingsParser;

/**
 * Runs an entry VM on the users' platform until a signal or an operator requests a planned stop.
 */
@Parameters(commandDescription = "Run an entry VM on the users' platform")
public final class EntryCommand implements Command {
  /** Name of the command. */
  public static final String NAME = "entry";

  /** The settings file may change without a signal. */
  private static final Duration SETTINGS_CHECK_INTERVAL = Duration.ofSeconds(2);

  private final Supplier<StopRequests> stopRequests;
  private final ReloadRequests reloads;

  @Parameter(
      names = "--settings",
      description = "file with the settings of this VM; reloaded on SIGHUP and when it changes",
      required = true)
  private Path settingsFile = Path.of("settings.jsonc");

  @Parameter(names = "--check", description = "only check the settings and print every fault")
  private boolean checkOnly;

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
          SettingsReloader reloader = new SettingsReloader(process, server::reload, eventLog);
          reloads.onRequest(reloader::reload);
          if (reloads.isSignalIgnored()) {
            eventLog.record(
                EventLog.Level.WARNING, "signal_ignored", LogField.of("signal", "SIGHUP"));
          }
          while (!stops.await(SETTINGS_CHECK_INTERVAL)) {
            reloader.reloadIfChanged();
          }
          return server.stop();
        });
  }
}
