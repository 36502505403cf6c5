package org.kumquatvane.cli.status;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.util.List;
import org.kumquatvane.cli.Command;
import org.kumquatvane.cli.Console;
import org.kumquatvane.cli.ExitCode;

/** Shows the state of a running process to an operator. */
@Parameters(commandDescription = "Show the state of a running process")
public final class StatusCommand implements Command {
  @ParametersDelegate private AdminOptions admin = new AdminOptions();

  @Override
  public String name() {
    return "status";
  }

  @Override
  public List<Example> examples() {
    return List.of(
        new Example("show the process on this VM", "status"),
        new Example("show another one", "status --admin 127.0.0.1:9091"));
  }

  @Override
  public List<ExitCode> exitCodes() {
    return List.of(ExitCode.UNREACHABLE);
  }

  @Override
  public ExitCode run(Console console) {
    try {
      AdminClient client = admin.client();
      console
          .out()
          .print(
              StatusText.format(
                  client.get("/v1/ready").body(),
                  client.get("/v1/configuration").body(),
                  client.get("/v1/instances").body(),
                  client.get("/v1/peers").body(),
                  client.get("/v1/work").body()));
      return ExitCode.OK;
    } catch (IOException e) {
      console.err().println(admin.address() + ": no response (" + e.getMessage() + ")");
      console.err().println("check that the process runs and that --admin names its admin address");
      return ExitCode.UNREACHABLE;
    }
  }
}
