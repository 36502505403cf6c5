package org.kumquatvane.verification.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** One process of {@code kumquatvane serve}. */
final class EntryVm implements AutoCloseable {
  private static final int EXIT_LIMIT_SECONDS = 90;
  private static final Path BINARY = Path.of("..", "target", "kumquatvane").toAbsolutePath();

  private final HttpClient client = HttpClient.newHttpClient();
  private final String id;
  private final String failureDomain;
  private final int platformPort;
  private final int callerPort = Ports.findFree();
  private final int adminPort = Ports.findFree();
  private final int peerPort = Ports.findFree();
  private final Path directory;
  private @Nullable Process process;

  EntryVm(String id, String failureDomain, int platformPort) {
    this.id = id;
    this.failureDomain = failureDomain;
    this.platformPort = platformPort;
    try {
      directory = Files.createDirectories(Path.of("target", "process-tests"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  String id() {
    return id;
  }

  String failureDomain() {
    return failureDomain;
  }

  int callerPort() {
    return callerPort;
  }

  String peerAddress() {
    return "127.0.0.1:" + peerPort;
  }

  void start() throws IOException {
    assertTrue(Files.isExecutable(BINARY), BINARY + " is missing; run mvn -DskipTests package");
    Path settings = directory.resolve(id + "-" + callerPort + ".json");
    Files.writeString(settings, settings());
    ProcessBuilder builder =
        new ProcessBuilder(BINARY.toString(), "serve", "--settings", settings.toString());
    builder.environment().put("JAVA_TOOL_OPTIONS", "-Xmx256m -Dkumquatvane.assertions=true");
    builder.redirectErrorStream(true).redirectOutput(logFile().toFile());
    process = builder.start();
  }

  private String settings() {
    return """
        {
          "vmId": "%s",
          "failureDomain": "%s",
          "callerListener": {"address": "127.0.0.1", "port": %d},
          "adminListener": {"address": "127.0.0.1", "port": %d},
          "peerListener": {"address": "127.0.0.1", "port": %d},
          "fleetSecret": "process-test-secret",
          "platform": {"address": "127.0.0.1:%d", "documentName": "document"},
          "drainNoticeMillis": 200,
          "drainDeadlineMillis": 60000,
          "peerWaitMillis": 1000,
          "heartbeatIntervalMillis": 500,
          "promiseMillis": 4000,
          "clockSkewMillis": 1000
        }
        """
        .formatted(id, failureDomain, callerPort, adminPort, peerPort, platformPort);
  }

  void awaitReady() {
    Conditions.await(
        id + " is ready", () -> getFromAdmin("/v1/ready").statusCode() == 200, this::log);
  }

  boolean isReady() throws Exception {
    return getFromAdmin("/v1/ready").statusCode() == 200;
  }

  HttpResponse<String> getFromAdmin(String path) throws IOException, InterruptedException {
    Process running = process;
    if (running == null || !running.isAlive()) {
      throw new IllegalStateException(id + " does not run:\n" + log());
    }
    return client.send(
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + adminPort + path)).build(),
        HttpResponse.BodyHandlers.ofString());
  }

  /** Sends SIGTERM. */
  void terminate() {
    requireProcess().destroy();
  }

  /** Waits for the end of the process and returns its exit code. */
  int awaitExitCode() throws InterruptedException {
    assertTrue(
        requireProcess().waitFor(EXIT_LIMIT_SECONDS, TimeUnit.SECONDS),
        () -> "still runs:\n" + log());
    return requireProcess().exitValue();
  }

  /** Sends SIGKILL. */
  void kill() {
    requireProcess().destroyForcibly();
  }

  String log() {
    try {
      return Files.exists(logFile()) ? Files.readString(logFile()) : "";
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Path logFile() {
    return directory.resolve(id + "-" + callerPort + ".log");
  }

  private Process requireProcess() {
    Process running = process;
    if (running == null) {
      throw new IllegalStateException(id + " was not started");
    }
    return running;
  }

  @Override
  public void close() {
    Process running = process;
    if (running != null) {
      running.destroyForcibly();
      try {
        running.waitFor(EXIT_LIMIT_SECONDS, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
