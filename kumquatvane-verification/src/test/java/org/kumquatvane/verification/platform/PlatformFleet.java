package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.kumquatvane.platform.trial.InstanceStandIn;
import org.kumquatvane.platform.trial.StoreStandIn;
import org.kumquatvane.verification.process.Conditions;
import org.kumquatvane.verification.process.DeployedCommand;
import org.kumquatvane.verification.process.FaultProxy;
import org.kumquatvane.verification.process.Ports;

/**
 * Entry VMs of the binary, a store and instances of one service; {@link #close} stops all of them.
 */
final class PlatformFleet implements AutoCloseable {
  static final String KEY = "key-of-alpha";
  static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(2);
  private static final Path BINARY = Path.of("..", "target", "kumquatvane").toAbsolutePath();
  private static final int EXIT_LIMIT_SECONDS = 90;
  private static final int MAXIMUM_BODY_BYTES = 100_000;

  /** Long enough for all requests on a slow machine. */
  private static final int STOP_GRACE_SECONDS = 60;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final StoreStandIn store = new StoreStandIn();
  private final List<InstanceStandIn> instances = new ArrayList<>();
  private final List<Vm> vms = new ArrayList<>();
  private final int stopGraceSeconds;
  private final Placement placement;
  private String furtherTenants = "";
  private int version;

  /** Where the VMs are. */
  enum Placement {
    ONE_FAILURE_DOMAIN,
    /** Each VM reads the store itself, through a proxy of its own. */
    FAILURE_DOMAIN_EACH
  }

  /** One process. */
  static final class Vm {
    private final String failureDomain;
    private final Optional<FaultProxy> storeProxy;
    private final int callerPort = Ports.findFree();
    private final int operatorPort = Ports.findFree();
    private final int peerPort = Ports.findFree();
    private final Path settings;
    private final Path log;
    private Process process;

    private Vm(
        Path settings,
        Path log,
        Process process,
        String failureDomain,
        Optional<FaultProxy> storeProxy) {
      this.failureDomain = failureDomain;
      this.storeProxy = storeProxy;
      this.settings = settings;
      this.log = log;
      this.process = process;
    }

    int callerPort() {
      return callerPort;
    }

    /** Cuts this VM off from the store; its connections hang. */
    void cutOffFromStore() {
      storeProxy.orElseThrow().block(true, true);
    }

    Process process() {
      return process;
    }

    String log() {
      try {
        return Files.readString(log);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    int awaitExitCode() throws InterruptedException {
      assertTrue(process.waitFor(EXIT_LIMIT_SECONDS, TimeUnit.SECONDS), this::log);
      return process.exitValue();
    }
  }

  PlatformFleet(int vmCount, int instanceCount) throws IOException {
    this(vmCount, instanceCount, STOP_GRACE_SECONDS);
  }

  PlatformFleet(int vmCount, int instanceCount, int stopGraceSeconds) throws IOException {
    this(vmCount, instanceCount, stopGraceSeconds, Placement.ONE_FAILURE_DOMAIN);
  }

  PlatformFleet(int vmCount, int instanceCount, int stopGraceSeconds, Placement placement)
      throws IOException {
    this.stopGraceSeconds = stopGraceSeconds;
    this.placement = placement;
    for (int i = 0; i < instanceCount; i++) {
      InstanceStandIn instance = new InstanceStandIn("i-" + i, "sessions");
      instances.add(instance);
      store.put(instance.storeKey(), instance.storeEntry("ready"));
    }
    publish(List.of(KEY), "/bookings/");
    for (int i = 0; i < vmCount; i++) {
      startVm();
    }
    vms.forEach(this::awaitReady);
  }

  Vm startVm() throws IOException {
    Vm vm = createVm();
    start(vm);
    return vm;
  }

  private Vm createVm() throws IOException {
    Path directory = Files.createDirectories(Path.of("target", "platform-tests"));
    String name = "vm-" + UUID.randomUUID();
    Path settings = directory.resolve(name + ".json");
    Path log = directory.resolve(name + ".log");
    boolean isSeparate = placement == Placement.FAILURE_DOMAIN_EACH;
    Vm vm =
        new Vm(
            settings,
            log,
            new ProcessBuilder("true").start(),
            isSeparate ? "domain-" + vms.size() : "a",
            isSeparate ? Optional.of(new FaultProxy(store.port())) : Optional.empty());
    writeSettings(vm, settings(name, vm));
    vms.add(vm);
    return vm;
  }

  void writeSettings(Vm vm, String text) throws IOException {
    Files.writeString(vm.settings, text);
  }

  String settingsWithSeed(Vm vm, Vm seed) {
    return settings("reloaded", vm, seed.peerPort);
  }

  /** Starts a VM with the launcher, as a shell does below nohup. */
  Vm startVmIgnoringHangUp() throws IOException {
    assertTrue(Files.isExecutable(BINARY), BINARY + " is missing; run mvn -DskipTests package");
    Vm vm = createVm();
    start(
        vm,
        List.of(
            "sh",
            "-c",
            "trap '' HUP; exec \"$0\" \"$@\"",
            BINARY.toString(),
            "entry",
            "--settings",
            vm.settings.toAbsolutePath().toString()));
    return vm;
  }

  void start(Vm vm) throws IOException {
    start(vm, DeployedCommand.withSettings(vm.settings));
  }

  private static void start(Vm vm, List<String> command) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(command).directory(DeployedCommand.DIRECTORY.toFile());
    builder
        .environment()
        .put("KUMQUATVANE_JAVA_OPTIONS", String.join(" ", DeployedCommand.runtimeOptions()));
    vm.process =
        builder
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(vm.log.toFile()))
            .start();
  }

  private String settings(String name, Vm vm) {
    return settings(name, vm, vms.isEmpty() ? vm.peerPort : vms.get(0).peerPort);
  }

  private String settings(String name, Vm vm, int seed) {
    return """
        {
          "vmName": "%s", "failureDomain": "%s",
          "callerAddress": "127.0.0.1:%d", "operatorAddress": "127.0.0.1:%d",
          "peerAddress": "127.0.0.1:%d", "seeds": ["127.0.0.1:%d"],
          "sourceAddress": "127.0.0.1:%d", "stopGraceSeconds": %d,
          "retryBudget": {"fixed": 400}, "fleetSecret": "platform-test-secret", "assertions": true
        }
        """
        .formatted(
            name,
            vm.failureDomain,
            vm.callerPort,
            vm.operatorPort,
            vm.peerPort,
            seed,
            vm.storeProxy.map(FaultProxy::port).orElse(store.port()),
            stopGraceSeconds);
  }

  void awaitReady(Vm vm) {
    Conditions.await(
        "VM is ready", () -> getFromOperator(vm, "/v1/ready").statusCode() == 200, vm::log);
    Conditions.await(
        "VM serves a look-up", () -> send(vm, "GET", "/lookups/1").statusCode() == 200, vm::log);
  }

  HttpResponse<String> getFromOperator(Vm vm, String path)
      throws IOException, InterruptedException {
    return client.send(
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + vm.operatorPort + path)).build(),
        HttpResponse.BodyHandlers.ofString());
  }

  /** Publishes a configuration with look-ups that may be retried and bookings that may not. */
  void publish(List<String> keys, String bookings) {
    publish(keys, bookings, MAXIMUM_BODY_BYTES);
  }

  /** Publishes the same configuration with another limit of request bodies. */
  void publish(List<String> keys, String bookings, int maximumBodyBytes) {
    version += 3;
    String granted = keys.stream().map(key -> '"' + key + '"').collect(Collectors.joining(","));
    store.put(
        "op/config",
        """
        {"version":"%08x",
         "routes":{"columns":["name","hostname","pathPrefix","type","timeoutS",
                              "targetLatencyS","priority","service","maxAttempts"],
          "rows":[["look-ups","127.0.0.1","/lookups/","safe",%2$d,1,1,"sessions",2],
                  ["bookings","127.0.0.1","%3$s","unsafe",%2$d,1,0,"sessions",2],
                  ["faulty","127.0.0.1","/faulty/","safe",%2$d,1,1,"faulty",2],
                  ["patient","127.0.0.1","/patient/","safe",3600,1,1,"faulty",1],
                  ["faulty-bookings","127.0.0.1","/faulty-bookings/","unsafe",%2$d,1,1,"faulty",2],
                  ["patient-faulty","127.0.0.1","/patient-faulty/","unsafe",30,1,1,"faulty",2],
                  ["patient-single","127.0.0.1","/patient-single/","unsafe",30,1,1,"single",2]]},
         "services":{"columns":["name","healthPath","maxConnections","protocol","tls"],
          "rows":[["sessions","/healthz",330,"h1",false],["faulty","/healthz",330,"h1",false],
                  ["single","/healthz",1,"h1",false]]},
         "limits":{"maxHeaderBytes":16384,"maxBodyBytes":%5$d,"headerTimeoutS":3,
                   "idleTimeoutS":15},
         "tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],
          "rows":[["alpha",[%4$s],null,0,0]%6$s]}}
        """
            .formatted(
                version,
                ROUTE_TIMEOUT.toSeconds(),
                bookings,
                granted,
                maximumBodyBytes,
                furtherTenants));
  }

  /** Publishes the same configuration with a further workspace that has a limit. */
  void publishWithLimit(String key, int ratePerSecond, int burst) {
    furtherTenants = ",[\"limited\",[\"%s\"],null,%d,%d]".formatted(key, ratePerSecond, burst);
    publish(List.of(KEY), "/bookings/");
  }

  StoreStandIn store() {
    return store;
  }

  InstanceStandIn instance(int index) {
    return instances.get(index);
  }

  List<Vm> vms() {
    return List.copyOf(vms);
  }

  /** Leaves out a VM that has ended. */
  void forget(Vm vm) {
    vms.remove(vm);
  }

  Vm vm(int index) {
    return vms.get(index);
  }

  long countRuns(String requestId) {
    return instances.stream()
        .flatMap(instance -> instance.startedRequests().stream())
        .filter(run -> run.requestId().equals(requestId))
        .count();
  }

  HttpResponse<String> send(Vm vm, String method, String target)
      throws IOException, InterruptedException {
    return send(vm, method, target, KEY, UUID.randomUUID().toString());
  }

  HttpResponse<String> send(Vm vm, String method, String target, String key, String requestId)
      throws IOException, InterruptedException {
    return client.send(createRequest(vm, method, target, key, requestId), BODY);
  }

  private static final HttpResponse.BodyHandler<String> BODY = HttpResponse.BodyHandlers.ofString();

  HttpRequest createRequest(Vm vm, String method, String target, String key, String requestId) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + vm.callerPort() + target))
            .header("X-Request-Id", requestId)
            .header("X-Deadline-Ms", "30000")
            .header("Authorization", "Token " + key);
    return method.equals("GET")
        ? request.GET().build()
        : request.method(method, HttpRequest.BodyPublishers.ofString("a booking")).build();
  }

  HttpClient client() {
    return client;
  }

  @Override
  public void close() {
    vms.forEach(vm -> vm.process.destroyForcibly());
    for (Vm vm : vms) {
      try {
        if (vm.storeProxy.isPresent()) {
          vm.storeProxy.get().close();
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
    instances.forEach(InstanceStandIn::close);
    store.close();
  }
}
