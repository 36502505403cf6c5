package org.kumquatvane.cli.serve;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Supplier;
import org.kumquatvane.cli.Command;
import org.kumquatvane.cli.Console;
import org.kumquatvane.cli.ExitCode;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.server.ProxyServer;
import org.kumquatvane.settings.Settings;
import org.kumquatvane.settings.SettingsParser;

/** Runs a proxy process until a signal or an operator requests a planned stop. */
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
   * @param stopRequests creates the source of stop requests when the command runs
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
    return VmProcess.EXIT_CODES;
  }

  @Override
  public ExitCode run(Console console) {
    VmProcess<Settings> process =
        new VmProcess<>(settingsFile, new SettingsParser()::parse, console);
    return process.withSettings(settings -> serve(settings, process));
  }

  private ExitCode serve(Settings settings, VmProcess<Settings> process) {
    EventLog eventLog = VmProcess.initializeRuntime(settings.vmId().value(), settings.assertions());
    StopRequests stops = stopRequests.get();
    return process.run(
        ProxyServer.start(settings, eventLog, stops::request),
        server -> {
          stops.await();
          return server.stop();
        });
  }
}
