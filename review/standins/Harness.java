import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Starts entry processes as the deploy file says and ends all that it has started. */
final class Harness implements AutoCloseable {
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#seeds}}(.*?)\\{\\{/seeds}}", Pattern.DOTALL);
  private static final Pattern VALUE = Pattern.compile("\\{\\{([a-zA-Z.]+)}}");

  /** One entry VM: its ports and its process. */
  static final class Vm {
    final String name;
    final String zone;
    final int callerPort;
    final int operatorPort;
    final int controlPort;
    Process process;

    private Vm(String name, String zone, int callerPort, int operatorPort, int controlPort) {
      this.name = name;
      this.zone = zone;
      this.callerPort = callerPort;
      this.operatorPort = operatorPort;
      this.controlPort = controlPort;
    }
  }

  /** The steps of a case. */
  interface Case {
    /** Returns 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
    int run(Harness harness, Record record, boolean trouble) throws Exception;
  }

  /** Limit of a script, shortly below the 120 s that it may take. */
  private static final long LIMIT_MILLIS = 115_000;

  private static final double READY_SECONDS = 40;

  /** The settings name at most three machines as seeds. */
  private static final int MAXIMUM_SEEDS = 3;

  final Record record;
  final Path folder;
  private final Path repository;
  final Store store;

  /** Address of the store that the VMs are given; null for that of the store itself. */
  String storeAddress;
  private final List<Vm> vms = new ArrayList<>();
  private final List<String> command;
  private final String template;
  private final Map<String, String> bounds = new HashMap<>();
  private int nextPort = 20_000 + (int) (ProcessHandle.current().pid() * 37 % 8_000);

  Harness(Path repository, Record record, Store store) throws IOException {
    this.record = record;
    this.store = store;
    this.repository = repository;
    folder = Files.createTempDirectory("review");
    String deploy = Files.readString(repository.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no run line in deploy/system.toml");
    }
    command = List.of(run.group(1).split(" "));
    template = Files.readString(repository.resolve("deploy/settings.jsonc"));
    bounds.putAll(
        Map.of(
            "bounds.graceS", "6",
            "bounds.retryBudgetRatio", "0.2",
            "bounds.retrySlack", "56",
            "bounds.retryWindowS", "10",
            "bounds.quotaOverage", "0.25",
            "bounds.quotaSlack", "20"));
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  /**
   * Runs a case and ends this process with its result.
   *
   * @param arguments repository and file of the record
   * @param steps the case
   */
  static void play(String[] arguments, Case steps) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = 2;
    try (Record record = new Record(Path.of(arguments[1]));
        Harness harness = new Harness(Path.of(arguments[0]).toRealPath(), record, new Store())) {
      daemon(
          "limit",
          () -> {
            sleep(LIMIT_MILLIS);
            record.add("the script took too long");
            harness.endProcesses();
            Runtime.getRuntime().halt(2);
          });
      code = steps.run(harness, record, trouble);
      record.add("exit code " + code);
    } catch (Exception e) {
      e.printStackTrace();
    } finally {
      System.exit(code);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static void daemon(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 256 << 10);
    thread.setDaemon(true);
    thread.start();
  }

  /** Starts VMs of one zone and waits until all are ready. */
  boolean startVms(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      vms.add(new Vm("front-a-" + i, "a", freePort(), freePort(), freePort()));
    }
    List<String> seeds =
        vms.stream().limit(MAXIMUM_SEEDS).map(vm -> "127.0.0.1:" + vm.controlPort).toList();
    for (Vm vm : vms) {
      start(vm, seeds);
    }
    for (Vm vm : vms) {
      if (!awaitReady(vm, READY_SECONDS)) {
        record.add("vm=" + vm.name + " isn't ready in time");
        return false;
      }
    }
    return true;
  }

  /** Finds a free port below the ephemeral range, so that no client connection takes it. */
  int freePort() throws IOException {
    while (nextPort < 32_000) {
      try (ServerSocket socket =
          new ServerSocket(++nextPort, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (BindException inUse) {
        // Another process listens on this port.
      }
    }
    throw new IOException("no free port");
  }

  private void start(Vm vm, List<String> seeds) throws IOException {
    Map<String, String> values = new HashMap<>(bounds);
    values.put("node", vm.name);
    values.put("zone", vm.zone);
    values.put("listen.front", "127.0.0.1:" + vm.callerPort);
    values.put("listen.ready", "127.0.0.1:" + vm.operatorPort);
    values.put("listen.control", "127.0.0.1:" + vm.controlPort);
    values.put("provider.address", storeAddress == null ? store.address() : storeAddress);
    Path settings = folder.resolve(vm.name + ".json");
    Files.writeString(settings, render(seeds, values));
    List<String> words = new ArrayList<>();
    command.forEach(
        word ->
            words.add(word.equals("/etc/kumquatvane/boot.json") ? settings.toString() : word));
    ProcessBuilder builder =
        new ProcessBuilder(words).directory(repository.toFile()).redirectErrorStream(true);
    builder.environment().put("KUMQUATVANE_SETTINGS", settings.toString());
    vm.process =
        builder
            .redirectOutput(folder.resolve(vm.name + ".log").toFile())
            .start();
    record.add("start vm=" + vm.name + " pid=" + vm.process.pid());
  }

  private String render(List<String> seeds, Map<String, String> values) {
    Matcher section = SECTION.matcher(template);
    StringBuilder rendered = new StringBuilder();
    while (section.find()) {
      List<String> entries = new ArrayList<>();
      for (String seed : seeds) {
        entries.add(section.group(1).replace("{{.}}", seed).replace("{{,}}", ""));
      }
      section.appendReplacement(
          rendered, Matcher.quoteReplacement(String.join(",", entries)));
    }
    section.appendTail(rendered);
    Matcher value = VALUE.matcher(rendered);
    StringBuilder result = new StringBuilder();
    while (value.find()) {
      String text = values.get(value.group(1));
      if (text == null) {
        throw new IllegalStateException("no value for " + value.group(1));
      }
      value.appendReplacement(result, Matcher.quoteReplacement(text));
    }
    value.appendTail(result);
    return result.toString();
  }

  /** Waits until a VM reports that it is ready. */
  private boolean awaitReady(Vm vm, double seconds) {
    double end = record.now() + seconds;
    while (record.now() < end) {
      if (isReady(vm)) {
        record.add("ready vm=" + vm.name);
        return true;
      }
      sleep(50);
    }
    return false;
  }

  private boolean isReady(Vm vm) {
    try (Client client = new Client(vm.operatorPort, 1_000)) {
      Message answer = client.exchange("GET /v1/ready HTTP/1.1\r\nHost: vm\r\n\r\n");
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  List<Vm> vms() {
    return vms;
  }

  private void endProcesses() {
    for (Vm vm : vms) {
      if (vm.process != null) {
        vm.process.destroyForcibly();
      }
    }
    for (Vm vm : vms) {
      try {
        if (vm.process != null) {
          vm.process.waitFor();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    store.close();
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs are in " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
