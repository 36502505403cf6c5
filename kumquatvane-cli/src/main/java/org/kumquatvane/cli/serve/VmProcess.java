package org.kumquatvane.cli.serve;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.kumquatvane.cli.Console;
import org.kumquatvane.cli.ExitCode;
import org.kumquatvane.cli.files.InputFiles;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.server.StartResult;
import org.kumquatvane.server.StopOutcome;
import org.kumquatvane.settings.SettingsResult;
import org.kumquatvane.telemetry.FloggerEventLog;
import org.kumquatvane.telemetry.LogSetup;

/**
 * Steps that the commands for running a VM have in common, from settings to exit code.
 *
 * @param <S> type of the settings
 */
final class VmProcess<S> {
  /** Exit codes of a command that runs a VM, besides success. */
  static final List<ExitCode> EXIT_CODES =
      List.of(
          ExitCode.INVALID_INPUT,
          ExitCode.UNREACHABLE,
          ExitCode.DRAIN_DEADLINE,
          ExitCode.SECOND_SIGNAL);

  private final Path settingsFile;
  private final BiFunction<String, byte[], SettingsResult<S>> parser;
  private final Console console;

  /**
   * Creates the process of a command.
   *
   * @param settingsFile file with the settings
   * @param parser reads the settings from the file's name and bytes
   * @param console output of the command
   */
  VmProcess(
      Path settingsFile, BiFunction<String, byte[], SettingsResult<S>> parser, Console console) {
    this.settingsFile = settingsFile;
    this.parser = parser;
    this.console = console;
  }

  /** Reads the settings file; returns empty if it cannot be read, after reporting it. */
  Optional<byte[]> readFile() {
    return InputFiles.read(settingsFile, console);
  }

  /** Parses the content of the settings file. */
  SettingsResult<S> parse(byte[] content) {
    return parser.apply(settingsFile.toString(), content);
  }

  /** Reads the settings and passes valid ones to {@code next}; prints the faults of others. */
  ExitCode withSettings(Function<S, ExitCode> next) {
    Optional<SettingsResult<S>> result = readFile().map(this::parse);
    if (result.isEmpty()) {
      return ExitCode.UNREACHABLE;
    }
    if (result.get() instanceof SettingsResult.Invalid<S> invalid) {
      invalid.faults().forEach(console.err()::println);
      return ExitCode.INVALID_INPUT;
    }
    return next.apply(((SettingsResult.Parsed<S>) result.get()).settings());
  }

  /** Sets up the log and the run-time checks; must be called before other classes are loaded. */
  static EventLog initializeRuntime(String vmName, boolean assertions) {
    if (assertions) {
      // Read by RankedLock when its class is loaded, which happens after this point.
      System.setProperty("kumquatvane.assertions", "true");
    }
    LogSetup.install(vmName);
    return new FloggerEventLog();
  }

  /**
   * Runs a started server until its planned stop has completed, or reports why it did not start.
   */
  <T> ExitCode run(StartResult<T> started, Function<T, StopOutcome> untilStopped) {
    if (started instanceof StartResult.Failed<T> failed) {
      console.err().println(failed.problem());
      return ExitCode.UNREACHABLE;
    }
    StopOutcome outcome = untilStopped.apply(((StartResult.Started<T>) started).server());
    return outcome == StopOutcome.COMPLETE ? ExitCode.OK : ExitCode.DRAIN_DEADLINE;
  }
}
