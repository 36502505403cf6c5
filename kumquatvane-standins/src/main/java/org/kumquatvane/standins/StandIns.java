package org.kumquatvane.standins;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.kumquatvane.standins.internal.HttpListener;

/** Starts stand-ins from the command line; they run until the process is terminated. */
public final class StandIns {
  private static final int CONTROL_CONNECTIONS = 1_000;

  private final List<PlatformStandIn> platforms = new ArrayList<>();
  private final List<BackendStandIn> backends = new ArrayList<>();

  private StandIns() {}

  /** Options common to all commands. */
  private static class CommonOptions {
    @Parameter(names = "--control-port", description = "Port of the test controls")
    int controlPort;

    @Parameter(names = "--seed", description = "Seed of the times of the work")
    long seed = 1;
  }

  /** Options of the platform. */
  private static class PlatformOptions extends CommonOptions {
    @Parameter(names = "--port", description = "Port of the platform; repeated for further views")
    List<Integer> ports = new ArrayList<>();

    @Parameter(names = "--value", description = "NAME=FILE, a value to publish; repeatable")
    List<String> values = new ArrayList<>();

    @Parameter(names = "--entry", description = "ID@ADDRESS@DOMAIN, an entry VM; repeatable")
    List<String> entries = new ArrayList<>();
  }

  /** Starts the platform. */
  @Parameters(commandNames = "platform", commandDescription = "Start the platform stand-in")
  private static final class PlatformCommand extends PlatformOptions {}

  /** Starts one instance. */
  @Parameters(commandNames = "backend", commandDescription = "Start one backend-server stand-in")
  private static final class BackendCommand extends CommonOptions {
    @Parameter(names = "--port", description = "Port of the instance", required = true)
    int port;

    @Parameter(names = "--id", description = "Name of the instance")
    String id = "backend-1";

    @Parameter(names = "--service", description = "Name of the service")
    String service = "rota";

    @Parameter(names = "--set", description = "NAME=NUMBER, a parameter; repeatable")
    List<String> settings = new ArrayList<>();
  }

  /** Starts the platform and instances of services. */
  @Parameters(commandNames = "all", commandDescription = "Start the platform and instances")
  private static final class AllCommand extends PlatformOptions {
    @Parameter(names = "--document", description = "Document to publish", required = true)
    String document = "";

    @Parameter(names = "--document-name", description = "Name of the document on the platform")
    String documentName = "document";

    @Parameter(names = "--ports", description = "SERVICE:FIRST_PORT:COUNT; repeatable")
    List<String> services = new ArrayList<>();

    @Parameter(names = "--set", description = "INSTANCE.NAME=NUMBER, a parameter; repeatable")
    List<String> settings = new ArrayList<>();
  }

  /**
   * Starts stand-ins.
   *
   * @param arguments command and its options
   * @throws IOException if a file cannot be read
   * @throws InterruptedException if the wait for the end of the process is interrupted
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    PlatformCommand platform = new PlatformCommand();
    BackendCommand backend = new BackendCommand();
    AllCommand all = new AllCommand();
    JCommander commander =
        JCommander.newBuilder()
            .programName("kumquatvane-standins")
            .addCommand(platform)
            .addCommand(backend)
            .addCommand(all)
            .build();
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      commander.usage();
      System.exit(2);
    }
    StandIns standIns = new StandIns();
    CommonOptions options = platform;
    String command = String.valueOf(commander.getParsedCommand());
    switch (command) {
      case "platform" -> standIns.startPlatform(platform);
      case "backend" -> {
        options = backend;
        standIns.startBackend(backend);
      }
      case "all" -> {
        options = all;
        standIns.startAll(all);
      }
      default -> {
        commander.usage();
        System.exit(2);
      }
    }
    standIns.runUntilTerminated(options.controlPort);
  }

  private PlatformStandIn startPlatform(PlatformOptions options) throws IOException {
    PlatformStandIn platform =
        new PlatformStandIn(options.ports.isEmpty() ? 0 : options.ports.get(0));
    platforms.add(platform);
    for (int i = 1; i < options.ports.size(); i++) {
      platform.addView(options.ports.get(i));
    }
    for (String value : options.values) {
      String[] parts = value.split("=", 2);
      platform.putValue(parts[0], Files.readAllBytes(Path.of(parts[1])));
    }
    for (String entry : options.entries) {
      String[] parts = entry.split("@", 3);
      platform.putVm(PlatformVm.entry(parts[0], parts[1], parts[2]));
    }
    return platform;
  }

  private void startBackend(BackendCommand options) {
    BackendStandIn backend =
        new BackendStandIn(options.id, options.service, options.port, options.seed);
    options.settings.forEach(setting -> applySetting(backend, setting));
    backends.add(backend);
  }

  private void startAll(AllCommand options) throws IOException {
    PlatformStandIn platform = startPlatform(options);
    for (String service : options.services) {
      String[] parts = service.split(":", 3);
      int count = Integer.parseInt(parts[2]);
      for (int i = 0; i < count; i++) {
        int port = Integer.parseInt(parts[1]) + i;
        BackendStandIn backend =
            new BackendStandIn(parts[0] + "-" + (i + 1), parts[0], port, options.seed + port);
        backends.add(backend);
        for (String setting : options.settings) {
          if (setting.startsWith(backend.id() + ".")) {
            applySetting(backend, setting.substring(backend.id().length() + 1));
          }
        }
        platform.putVm(backend.vm(i % 2 == 0 ? "a" : "b"));
      }
    }
    platform.putValue(options.documentName, Files.readAllBytes(Path.of(options.document)));
  }

  private static void applySetting(BackendStandIn backend, String setting) {
    String[] parts = setting.split("=", 2);
    backend.set(BackendParameter.valueOf(parts[0]), Double.parseDouble(parts[1]));
  }

  private void runUntilTerminated(int controlPort) throws InterruptedException {
    HttpListener control =
        new HttpListener(controlPort, CONTROL_CONNECTIONS, new ControlService(platforms, backends));
    for (PlatformStandIn platform : platforms) {
      System.out.println("platform 127.0.0.1:" + platform.port(0));
    }
    for (BackendStandIn backend : backends) {
      System.out.println("backend " + backend.id() + " 127.0.0.1:" + backend.port());
    }
    System.out.println("control 127.0.0.1:" + control.port());
    new CountDownLatch(1).await();
  }
}
