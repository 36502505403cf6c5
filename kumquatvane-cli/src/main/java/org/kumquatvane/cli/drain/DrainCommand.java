package org.kumquatvane.cli.drain;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.util.List;
import org.kumquatvane.cli.Command;
import org.kumquatvane.cli.Console;
import org.kumquatvane.cli.ExitCode;
import org.kumquatvane.cli.status.AdminClient;
import org.kumquatvane.cli.status.AdminOptions;

/** Starts the planned stop of a running process. */
@Parameters(commandDescription = "Start the planned stop of a running process")
public final class DrainCommand implements Command {
  private static final int ACCEPTED = 202;

  @ParametersDelegate private AdminOptions admin = new AdminOptions();

  @Override
  public String name() {
    return "drain";
  }

  @Override
  public List<Example> examples() {
    return List.of(
        new Example("stop the process on this VM without interrupting requests", "drain"));
  }

  @Override
  public List<ExitCode> exitCodes() {
    return List.of(ExitCode.UNREACHABLE);
  }

  @Override
  public ExitCode run(Console console) {
    try {
      AdminClient.Response response = admin.client().post("/v1/drain");
      if (response.status() == ACCEPTED) {
        console.out().println(admin.address() + ": the planned stop has begun");
        return ExitCode.OK;
      }
      console.err().println(admin.address() + ": refused with status " + response.status());
      console.err().println("check --token-file");
    } catch (IOException e) {
      console.err().println(admin.address() + ": no response (" + e.getMessage() + ")");
      console.err().println("check that the process runs and that --admin names its admin address");
    }
    return ExitCode.UNREACHABLE;
  }
}
