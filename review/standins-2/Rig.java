import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: entry processes that are started with the command and
 * the settings template of the deploy file, a stand-in of the platform's store, and a record of
 * what was sent, answered and run.
 */
final class Rig implements AutoCloseable {
  /** An entry process and its addresses. */
  static final class Vm {
    final String name;
    final String zone;
    final int callerPort;
    final int readyPort;
    final int controlPort;
    final Path settings;
    final Path log;
    int storePort;
    Process process;
    int starts;

    Vm(String name, String zone, int callerPort, int readyPort, int controlPort, Path directory) {
      this.name = name;
      this.zone = zone;
      this.callerPort = callerPort;
      this.readyPort = readyPort;
      this.controlPort = controlPort;
      settings = directory.resolve(name + ".json");
      log = directory.resolve(name + ".log");
    }
  }

  /** A case: returns 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
  interface Case {
    int run(Rig rig) throws Exception;
  }

  static final String HOST = "127.0.0.1";

  private final long startNanos = System.nanoTime();
  private final Path repository;
  private final Path directory;
  private final PrintWriter record;
  private final Set<Integer> usedPorts = new HashSet<>();
  private final List<AutoCloseable> parts = new ArrayList<>();
  final List<Vm> vms = new ArrayList<>();
  final StoreStandIn store;

  /** Whether the disruption is made; without it the case must pass. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  Rig(Path repository, Path recordFile) throws IOException {
    this.repository = repository;
    directory = Files.createTempDirectory("review-");
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    store = new StoreStandIn(freePort());
    parts.add(store);
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    note("trouble=" + trouble);
  }

  /** Runs a case and exits with its result; a failure of the case itself is no broken rule. */
  static void runAndExit(String[] arguments, Case toRun) {
    int exit = 2;
    try (Rig rig = new Rig(Path.of("."), Path.of(arguments[0]).resolve("record.txt"))) {
      try {
        exit = toRun.run(rig);
      } catch (Exception | Error e) {
        rig.note("the case could not run: " + e);
        e.printStackTrace();
      }
      rig.note("exit " + exit);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  /** Writes a line to the record. */
  synchronized void note(String line) {
    record.println(String.format("%8.3f %s", elapsedSeconds(), line));
  }

  double elapsedSeconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  /** Closes a part together with this deployment. */
  <T extends AutoCloseable> T add(T part) {
    parts.add(part);
    return part;
  }

  /** Finds a free port below the range from which outgoing connections take theirs. */
  synchronized int freePort() throws IOException {
    for (int attempt = 0; attempt < 1000; attempt++) {
      int port = 20_000 + (int) (Math.random() * 10_000);
      if (usedPorts.contains(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
        usedPorts.add(port);
        return socket.getLocalPort();
      } catch (IOException inUse) {
        // Another process listens on the port.
      }
    }
    throw new IOException("no free port");
  }

  Vm addVm(String name, String zone) throws IOException {
    Vm vm = new Vm(name, zone, freePort(), freePort(), freePort(), directory);
    vm.storePort = store.port();
    vms.add(vm);
    return vm;
  }

  /** Writes the settings of all VMs and starts them. */
  void startAll() throws IOException {
    StringBuilder seeds = new StringBuilder();
    for (Vm vm : vms.subList(0, Math.min(3, vms.size()))) {
      seeds.append(seeds.length() == 0 ? "" : ", ").append('"').append(HOST).append(':');
      seeds.append(vm.controlPort).append('"');
    }
    for (Vm vm : vms) {
      Files.writeString(vm.settings, settings(vm, seeds.toString()));
      start(vm);
    }
  }

  /** Fills in the placeholders of the settings template. */
  private String settings(Vm vm, String seeds) throws IOException {
    String text = Files.readString(repository.resolve("deploy/settings.jsonc"));
    text = text.replaceFirst("(?s)\\{\\{#seeds}}.*?\\{\\{/seeds}}", seeds);
    String[][] values = {
      {"node", vm.name},
      {"zone", vm.zone},
      {"listen.front", HOST + ":" + vm.callerPort},
      {"listen.ready", HOST + ":" + vm.readyPort},
      {"listen.control", HOST + ":" + vm.controlPort},
      {"provider.address", HOST + ":" + vm.storePort},
      {"bounds.graceS", "6"},
      {"bounds.retryBudgetRatio", "0.2"},
      {"bounds.retrySlack", "60"},
      {"bounds.retryWindowS", "10"},
      {"bounds.quotaOverage", "0.25"},
      {"bounds.quotaSlack", "20"}
    };
    for (String[] value : values) {
      text = text.replace("{{" + value[0] + "}}", value[1]);
    }
    return text;
  }

  /** Starts the process of a VM with the command of the deploy file. */
  void start(Vm vm) throws IOException {
    String run =
        Files.readAllLines(repository.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
    List<String> words =
        new ArrayList<>(
            List.of(command.replace("/etc/kumquatvane/boot.json", vm.settings.toString()).split(" ")));
    ProcessBuilder builder =
        new ProcessBuilder(words)
            .directory(repository.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(vm.log.toFile()));
    vm.process = builder.start();
    vm.starts++;
    note("start " + vm.name + " pid=" + vm.process.pid() + " count=" + vm.starts);
  }

  /** Sends a signal to the process of a VM. */
  void signal(Vm vm, String name) throws IOException, InterruptedException {
    note("signal " + name + " " + vm.name);
    new ProcessBuilder("kill", "-" + name, Long.toString(vm.process.pid())).start().waitFor();
  }

  /** Waits until all VMs say that they are ready. */
  boolean awaitReady(double seconds) throws InterruptedException {
    long end = System.nanoTime() + (long) (seconds * 1e9);
    while (System.nanoTime() < end) {
      boolean all = true;
      for (Vm vm : vms) {
        all &= isReady(vm);
      }
      if (all) {
        note("all VMs are ready");
        return true;
      }
      Thread.sleep(50);
    }
    note("not all VMs became ready");
    return false;
  }

  static boolean isReady(Vm vm) {
    try (Caller caller = new Caller(vm.readyPort)) {
      return caller.send("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0], 1_000).status
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns the lines of a VM's log that contain a text. */
  static List<String> logLines(Vm vm, String text) throws IOException {
    try (Stream<String> lines = Files.lines(vm.log, StandardCharsets.ISO_8859_1)) {
      return lines.filter(line -> line.contains(text)).toList();
    }
  }

  private void killAll() {
    for (Vm vm : vms) {
      if (vm.process != null) {
        vm.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws Exception {
    killAll();
    for (Vm vm : vms) {
      if (vm.process != null) {
        vm.process.waitFor(5, TimeUnit.SECONDS);
      }
    }
    for (AutoCloseable part : parts) {
      part.close();
    }
    record.close();
    if (System.getenv("KEEP_LOGS") == null) {
      try (Stream<Path> files = Files.walk(directory)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    } else {
      System.err.println("logs: " + directory);
    }
  }
}
