package org.kumquatvane.verification.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.kumquatvane.verification.process.DeployedCommand;
import org.kumquatvane.verification.process.FaultProxy;
import org.kumquatvane.verification.process.Ports;

/**
 * One process of the binary; its connections from callers, from peers and to the store pass through
 * fault proxies.
 */
final class SoakVm implements AutoCloseable {
  /** Time from SIGTERM to SIGKILL; the platform allows six seconds. */
  static final int STOP_GRACE_SECONDS = 6;

  private static final int FAILURE_DOMAINS = Integer.getInteger("soak.domains", 2);

  private final int index;
  private final Path log;
  private final Path settings;
  private final int callerPort = Ports.findFree();
  private final int operatorPort = Ports.findFree();
  private final int peerPort = Ports.findFree();
  private final FaultProxy callers;
  private final FaultProxy peers;
  private final FaultProxy store;
  private Process process;
  private int processNumber;
  private boolean exitExpected;

  SoakVm(int index, Path directory, int storePort) throws IOException {
    this.index = index;
    log = directory.resolve("vm-" + index + ".log");
    settings = directory.resolve("vm-" + index + ".json");
    callers = new FaultProxy(callerPort);
    peers = new FaultProxy(peerPort);
    store = new FaultProxy(storePort);
    process = new ProcessBuilder("true").start();
  }

  FaultProxy callers() {
    return callers;
  }

  FaultProxy peers() {
    return peers;
  }

  FaultProxy store() {
    return store;
  }

  int operatorPort() {
    return operatorPort;
  }

  /** Number of the current process, counted from 1. */
  synchronized int processNumber() {
    return processNumber;
  }

  /** Starts a process unless one is running. */
  synchronized void start(int seedPort) throws IOException {
    if (processNumber > 0 && process.isAlive()) {
      return;
    }
    Files.writeString(settings, settingsText(seedPort));
    process =
        new ProcessBuilder(DeployedCommand.withSettings(settings))
            .directory(DeployedCommand.DIRECTORY.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    processNumber++;
    exitExpected = false;
  }

  private String settingsText(int seedPort) {
    return """
        {
          "vmName": "vm-%d", "failureDomain": "%s",
          "callerAddress": "127.0.0.1:%d", "operatorAddress": "127.0.0.1:%d",
          "peerAddress": "127.0.0.1:%d", "peerListenAddress": "127.0.0.1:%d",
          "seeds": ["127.0.0.1:%d"], "sourceAddress": "127.0.0.1:%d",
          "stopGraceSeconds": %d, "retryBudget": {"ratio": %s, "fixed": %d, "windowSeconds": %d},
          "limitSlack": {"overage": %s, "requests": %d},
          "fleetSecret": "soak-secret-on-loopback", "assertions": true
        }
        """
        .formatted(
            index,
            "domain-" + index % FAILURE_DOMAINS,
            callerPort,
            operatorPort,
            peers.port(),
            peerPort,
            seedPort,
            store.port(),
            STOP_GRACE_SECONDS,
            SoakVerifier.RETRY_RATIO,
            SoakVerifier.RETRY_FIXED,
            SoakVerifier.RETRY_WINDOW_SECONDS,
            SoakVerifier.QUOTA_OVERAGE,
            SoakVerifier.QUOTA_SLACK);
  }

  synchronized void kill() throws InterruptedException {
    exitExpected = true;
    process.destroyForcibly().waitFor();
  }

  /** Sends a signal by name; the process may have ended before it arrives. */
  synchronized void signal(String name) {
    try {
      if (name.equals("TERM")) {
        exitExpected = true;
      }
      new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for the process to exit and kills it after the grace period. */
  void awaitExit() throws InterruptedException {
    Process stopping;
    synchronized (this) {
      stopping = process;
    }
    if (!stopping.waitFor(STOP_GRACE_SECONDS, TimeUnit.SECONDS)) {
      stopping.destroyForcibly().waitFor();
    }
  }

  /** Returns whether the process has exited without having been stopped or killed. */
  synchronized boolean hasExitedUnexpectedly() {
    return processNumber > 0 && !process.isAlive() && !exitExpected;
  }

  String describeExit() {
    return "vm " + index + " process " + processNumber() + " exit code " + process.exitValue();
  }

  Path log() {
    return log;
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    callers.close();
    peers.close();
    store.close();
  }
}
