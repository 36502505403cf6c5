package org.kumquatvane.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.standins.BackendParameter;
import org.kumquatvane.standins.BackendStandIn;
import org.kumquatvane.standins.PlatformStandIn;
import org.kumquatvane.standins.PlatformVm;

/**
 * Compares one serve process with direct calls to the same instance, alternating in one run.
 *
 * <p>Arguments: the binary, offered requests a second (default 500), seconds of each run (default
 * 8). The machine is shared, so only ratios and differences within one run are meaningful.
 */
public final class Bench {
  private static final String KEY = "kv1_" + "B".repeat(43);
  private static final int CALLER_PORT = 18_180;
  private static final int ADMIN_PORT = 18_190;
  private static final int PEER_PORT = 18_170;
  private static final int CONNECTIONS = 32;
  private static final int ROUNDS = 3;
  private static final int[] IDLE_CONNECTIONS = {0, 1_000, 10_000};
  private static final int READY_SECONDS = 60;
  private static final int STOP_SECONDS = 60;

  private final double rate;
  private final Duration length;

  private Bench(double rate, Duration length) {
    this.rate = rate;
    this.length = length;
  }

  /**
   * Runs the measurements and prints a table.
   *
   * @param arguments the binary, offered requests a second, seconds of each run
   * @throws Exception if a process cannot be started or a measurement fails
   */
  public static void main(String[] arguments) throws Exception {
    String binary = arguments.length > 0 ? arguments[0] : "target/kumquatvane";
    double rate = arguments.length > 1 ? Double.parseDouble(arguments[1]) : 500;
    long seconds = arguments.length > 2 ? Long.parseLong(arguments[2]) : 8;
    Path directory = Files.createTempDirectory("kumquatvane-bench");
    Process serve;
    try (PlatformStandIn platform = new PlatformStandIn(0);
        BackendStandIn backend = new BackendStandIn("rota-1", "rota", 0, 1)) {
      backend.set(BackendParameter.WORK_MILLIS, 0);
      backend.set(BackendParameter.SLOTS, 10_000);
      platform.putVm(backend.vm("a"));
      platform.putVm(PlatformVm.entry("bench", "127.0.0.1:" + PEER_PORT, "a"));
      platform.putValue("document", document().getBytes(StandardCharsets.UTF_8));
      Path settings = Files.writeString(directory.resolve("settings.json"), settings(platform));
      serve =
          new ProcessBuilder(binary, "serve", "--settings", settings.toString())
              .redirectErrorStream(true)
              .redirectOutput(directory.resolve("serve.log").toFile())
              .start();
      try {
        awaitReady(serve);
        new Bench(rate, Duration.ofSeconds(seconds)).measure(backend.port(), serve.pid());
      } finally {
        serve.destroy();
        if (!serve.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
          serve.destroyForcibly();
        }
        System.out.println("log of the process: " + directory.resolve("serve.log"));
      }
    }
    System.exit(0);
  }

  private void measure(int backendPort, long pid) throws Exception {
    // Both paths are warmed up, so that JIT compilation is not measured.
    createLoadRun(backendPort).atRate(rate);
    createLoadRun(CALLER_PORT).atRate(rate);
    System.out.printf(
        "%-34s %10s %10s %10s %10s%n", "run", "answers/s", "failed", "p50 ms", "p99 ms");
    for (int round = 1; round <= ROUNDS; round++) {
      LoadRun.Result direct = createLoadRun(backendPort).atRate(rate);
      LoadRun.Result proxied = createLoadRun(CALLER_PORT).atRate(rate);
      print("direct, " + rate + "/s, round " + round, direct);
      print("through serve, " + rate + "/s, round " + round, proxied);
      System.out.printf(
          "%-34s %10s %10s %10.3f %10.3f%n",
          "added, round " + round,
          "",
          "",
          proxied.latencyMillis(50) - direct.latencyMillis(50),
          proxied.latencyMillis(99) - direct.latencyMillis(99));
    }
    LoadRun.Result direct = createLoadRun(backendPort).saturated();
    LoadRun.Result proxied = createLoadRun(CALLER_PORT).saturated();
    print("direct, saturated", direct);
    print("through serve, saturated", proxied);
    System.out.printf(
        "%-34s %10.3f%n",
        "ratio of throughput", proxied.successesPerSecond() / direct.successesPerSecond());
    measureMemory(pid);
  }

  private LoadRun createLoadRun(int port) {
    return new LoadRun(port, KEY, CONNECTIONS, length);
  }

  private static void print(String name, LoadRun.Result result) {
    System.out.printf(
        "%-34s %10.0f %10d %10.3f %10.3f%n",
        name,
        result.successesPerSecond(),
        result.failed(),
        result.latencyMillis(50),
        result.latencyMillis(99));
  }

  /** Measures memory with idle connections, each of which has sent one request. */
  private static void measureMemory(long pid) throws IOException {
    List<LoadConnection> open = new ArrayList<>();
    try {
      for (int count : IDLE_CONNECTIONS) {
        while (open.size() < count) {
          LoadConnection connection = new LoadConnection(CALLER_PORT, KEY);
          open.add(connection);
          connection.sendRequest();
        }
        System.out.printf(
            "%-34s %10s%n", "VmRSS, " + count + " idle connections", residentMemory(pid));
      }
    } finally {
      for (LoadConnection connection : open) {
        connection.close();
      }
    }
  }

  private static String residentMemory(long pid) throws IOException {
    return Files.readAllLines(Path.of("/proc", Long.toString(pid), "status")).stream()
        .filter(line -> line.startsWith("VmRSS:"))
        .map(line -> line.substring("VmRSS:".length()).trim())
        .findFirst()
        .orElse("unknown");
  }

  private static void awaitReady(Process serve) throws InterruptedException {
    long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
    while (System.nanoTime() < limit && serve.isAlive()) {
      try (LoadConnection connection = new LoadConnection(CALLER_PORT, KEY)) {
        if (connection.sendRequest() == 200) {
          return;
        }
      } catch (IOException ignored) {
        // The process does not listen yet.
      }
      Thread.sleep(100);
    }
    throw new IllegalStateException("the serve process does not serve look-ups");
  }

  private static String settings(PlatformStandIn platform) {
    return """
        {
          "vmId": "bench",
          "failureDomain": "a",
          "callerListener": {"address": "127.0.0.1", "port": %d},
          "adminListener": {"address": "127.0.0.1", "port": %d},
          "peerListener": {"address": "127.0.0.1", "port": %d},
          "fleetSecret": "bench-secret-on-loopback",
          "platform": {"address": "127.0.0.1:%d", "documentName": "document"},
          "drainNoticeMillis": 100
        }
        """
        .formatted(CALLER_PORT, ADMIN_PORT, PEER_PORT, platform.port(0));
  }

  private static String document() {
    return """
        {
          "generation": 1,
          "fleet": {"maximumVmCount": 1},
          "workspaces": [{"name": "bench", "keySha256": ["%s"],
            "ratePerSecond": 1000000, "burstRequests": 1000000}],
          "services": [{"name": "rota", "slotsPerInstance": 10000,
            "maximumConnectionsPerInstance": 10000, "warmUpMillis": 0}],
          "routes": [{"name": "look-ups", "service": "rota", "methods": ["GET"],
            "path": "/rota/**", "open": true, "timeoutMillis": 10000}]
        }
        """
        .formatted(KeyDigest.ofKey(KEY).hex());
  }
}
