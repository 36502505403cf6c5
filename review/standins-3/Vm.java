import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** One entry VM: the program of the deploy file with the settings of a small deployment. */
final class Vm implements AutoCloseable {
  private static int nextPort = 21_000 + (int) (ProcessHandle.current().pid() % 3_000) * 3;

  final String name;
  final int callerPort = freePort();
  final int operatorPort = freePort();
  final int peerPort = freePort();
  private final Path directory;
  private final RunRecord record;
  private Process process;
  private int starts;

  Vm(Path directory, RunRecord record, String name) {
    this.directory = directory;
    this.record = record;
    this.name = name;
  }

  /** Starts the process with the command and the template of the deploy file. */
  void start(List<Vm> seeds, int storePort) throws IOException {
    Path settings = writeSettings(seeds, storePort);
    String run =
        Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow()
            .replaceFirst("run = \"(.*)\"", "$1")
            .replace("/etc/kumquatvane/boot.json", settings.toString());
    Path log = directory.resolve(name + "-" + (++starts) + ".log");
    process =
        new ProcessBuilder(List.of(run.split(" ")))
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .start();
    // A run that is broken off leaves no process behind.
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    record.line("vm " + name + ": started, callers at port " + callerPort);
  }

  /** Writes the settings file; the process may read it at any time. */
  Path writeSettings(List<Vm> seeds, int storePort) throws IOException {
    String template = Files.readString(Path.of("deploy/settings.jsonc"));
    String seedList =
        seeds.stream()
            .map(vm -> "\"127.0.0.1:" + vm.peerPort + "\"")
            .collect(Collectors.joining(","));
    String filled =
        template
            .replaceAll("\\{\\{#seeds}}.*\\{\\{/seeds}}", seedList)
            .replace("{{node}}", name)
            .replace("{{zone}}", "waikato")
            .replace("{{listen.front}}", "127.0.0.1:" + callerPort)
            .replace("{{listen.ready}}", "127.0.0.1:" + operatorPort)
            .replace("{{listen.control}}", "127.0.0.1:" + peerPort)
            .replace("{{provider.address}}", "127.0.0.1:" + storePort)
            .replace("{{bounds.graceS}}", "6")
            .replace("{{bounds.retryBudgetRatio}}", "0.2")
            .replace("{{bounds.retrySlack}}", "60")
            .replace("{{bounds.retryWindowS}}", "10")
            .replace("{{bounds.quotaOverage}}", "0.25")
            .replace("{{bounds.quotaSlack}}", "20");
    Path settings = directory.resolve("boot-" + name + ".json");
    Path written = directory.resolve("boot-" + name + ".new");
    Files.writeString(written, filled);
    Files.move(written, settings, StandardCopyOption.REPLACE_EXISTING);
    return settings;
  }

  /** Waits until the load balancer's question is answered with 200. */
  boolean awaitReady(long timeoutMillis) throws InterruptedException {
    long end = System.nanoTime() + timeoutMillis * 1_000_000;
    while (System.nanoTime() < end) {
      if (ready() == 200) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  int ready() {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              new URL("http://127.0.0.1:" + operatorPort + "/v1/ready").openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(1_000);
      return connection.getResponseCode();
    } catch (IOException e) {
      return 0;
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitValue() {
    return process.exitValue();
  }

  /** Finds a free port below the range from which outgoing connections take theirs. */
  private static synchronized int freePort() {
    while (true) {
      nextPort++;
      try (ServerSocket socket = new ServerSocket(nextPort, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException inUse) {
        // Another process listens on the port.
      }
    }
  }

  /** Kills the process without waiting for its end. */
  void kill() {
    process.destroyForcibly();
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
