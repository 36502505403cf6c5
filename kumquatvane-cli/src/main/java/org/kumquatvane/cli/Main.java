package org.kumquatvane.cli;

import java.security.SecureRandom;
import java.util.List;
import org.kumquatvane.cli.check.CheckCommand;
import org.kumquatvane.cli.digest.DigestCommand;
import org.kumquatvane.cli.drain.DrainCommand;
import org.kumquatvane.cli.key.KeyCommand;
import org.kumquatvane.cli.serve.EntryCommand;
import org.kumquatvane.cli.serve.ReloadRequests;
import org.kumquatvane.cli.serve.ServeCommand;
import org.kumquatvane.cli.serve.SignalStopRequests;
import org.kumquatvane.cli.status.StatusCommand;
import org.kumquatvane.cli.trial.TrialCommand;
import org.kumquatvane.core.SystemClock;

/** Entry point of the binary. */
public final class Main {
  private Main() {}

  /**
   * Runs the command that the arguments name and ends the process with its exit code.
   *
   * @param arguments arguments of the process
   */
  public static void main(String[] arguments) {
    ReloadRequests reloads = new ReloadRequests();
    if (arguments.length > 0 && arguments[0].equals(EntryCommand.NAME)) {
      reloads.handleSignal();
    }
    ExitCode code =
        new CommandLine(commands(reloads))
            .run(List.of(arguments), new Console(System.out, System.err));
    System.out.flush();
    System.exit(code.code());
  }

  /**
   * Returns new instances of all commands, in the order of the help text.
   *
   * @param reloads requests to reload the settings of a running VM
   * @return the commands
   */
  static List<Command> commands(ReloadRequests reloads) {
    return List.of(
        new ServeCommand(() -> new SignalStopRequests(new SystemClock())),
        new EntryCommand(() -> new SignalStopRequests(new SystemClock()), reloads),
        new CheckCommand(),
        new DigestCommand(),
        new TrialCommand(),
        new KeyCommand(new SecureRandom()),
        new StatusCommand(),
        new DrainCommand());
  }
}
