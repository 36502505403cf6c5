import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/**
 * Consumers keep their connections open and send a booking from time to time. One of two machines
 * loses power, so its consumers open connections to the other. Counts the requests that the other
 * machine passed on from a kept connection and then left without an answer.
 */
public final class KeptBodies {
  private static final int CONSUMERS = 400;
  private static final int BODY_BYTES = 250_000;
  private static final long PAUSE_MILLIS = 3_000;
  private static final long DEADLINE_MILLIS = 5_000;
  private static final long POWER_OFF_MILLIS = 3_500;
  private static final int ALLOWED_LOST = 3;
  private static final String BODY = "b".repeat(BODY_BYTES);

  private final RunRecord record;
  private final List<Vm> vms;
  private final Queue<Sent> sent = new ConcurrentLinkedQueue<>();
  private volatile boolean stopped;
  private volatile boolean secondIsOff;

  /** A request and how it ended. */
  private record Sent(String id, Vm vm, int numberOnConnection, Client.Answer answer) {}

  private KeptBodies(RunRecord record, List<Vm> vms) {
    this.record = record;
    this.vms = vms;
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = 2;
    try (RunRecord record = new RunRecord(Path.of(arguments[1]))) {
      record.line("trouble=" + trouble);
      code = run(Path.of(arguments[0]), record, trouble);
      record.say(code == 1 ? "LOST broken" : code == 0 ? "LOST held" : "the case could not run");
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static int run(Path directory, RunRecord record, boolean trouble) throws Exception {
    Files.createDirectories(directory);
    List<Instance> instances = new ArrayList<>();
    try (Store store = new Store(record);
        Vm first = new Vm(directory, record, "front-1");
        Vm second = new Vm(directory, record, "front-2")) {
      store.put("op/config", Config.of(1, List.of("key")));
      for (int i = 0; i < 24; i++) {
        Instance instance = new Instance(record, "i-rota" + i, "rota");
        instance.workMillis = 300;
        instances.add(instance);
        store.put(instance.key(), instance.entry("ready"));
      }
      List<Vm> vms = List.of(first, second);
      for (Vm vm : vms) {
        vm.start(vms, store.port());
      }
      for (Vm vm : vms) {
        if (!vm.awaitReady(30_000)) {
          return 2;
        }
      }
      Thread.sleep(3_000);
      KeptBodies load = new KeptBodies(record, vms);
      for (int i = 0; i < CONSUMERS; i++) {
        int number = i;
        Store.daemon(() -> load.consume(number));
      }
      Thread.sleep(15_000);
      if (!first.isAlive() || !second.isAlive()) {
        record.say("a process ended before the disruption");
        return 2;
      }
      if (trouble) {
        record.say("front-2 loses power");
        second.kill();
        load.secondIsOff = true;
        Thread.sleep(POWER_OFF_MILLIS);
        second.start(vms, store.port());
        second.awaitReady(10_000);
        load.secondIsOff = false;
        record.line("front-2 serves again");
      }
      long end = System.nanoTime() + 20_000_000_000L;
      while (System.nanoTime() < end && first.isAlive()) {
        Thread.sleep(100);
      }
      Thread.sleep(1_000);
      load.stopped = true;
      return load.judge(first, instances);
    }
  }

  /** One consumer: one booking after another on a connection that it keeps. */
  private void consume(int number) {
    Client client = null;
    Vm vm = null;
    int onConnection = 0;
    boolean isRepeat = false;
    try {
      Thread.sleep(number * PAUSE_MILLIS / CONSUMERS);
      while (!stopped) {
        if (client == null) {
          // The load balancer picks a machine in rotation; the connection stays with it.
          vm = secondIsOff ? vms.get(0) : vms.get(number % 2);
          try {
            client = new Client(vm.callerPort);
          } catch (IOException e) {
            Thread.sleep(500);
            continue;
          }
          onConnection = 0;
        }
        onConnection++;
        String id = Client.newId();
        Client.Answer answer;
        try {
          client.write(
              Client.head(
                      "POST", "/book/" + number, id, DEADLINE_MILLIS, "key",
                      "Content-Length: " + BODY_BYTES + "\r\n")
                  + BODY);
          answer = client.read(id, DEADLINE_MILLIS);
        } catch (IOException e) {
          answer = new Client.Answer(id, 0, null, "broken off while it was sent");
        }
        sent.add(new Sent(id, vm, onConnection, answer));
        record.line(
            "client " + number + ": request " + onConnection + " on a connection to " + vm.name
                + " " + answer);
        boolean closes =
            answer.failure() != null
                || "close".equalsIgnoreCase(answer.message().header("connection"));
        if (closes) {
          client.close();
          client = null;
        }
        // A request whose connection broke is repeated at once on a new one.
        if (answer.failure() == null || isRepeat) {
          isRepeat = false;
          Thread.sleep(PAUSE_MILLIS);
        } else {
          isRepeat = true;
        }
      }
    } catch (InterruptedException | IOException e) {
      record.line("client " + number + " ended: " + e);
    }
  }

  private int judge(Vm first, List<Instance> instances) {
    Set<String> ran =
        instances.stream()
            .flatMap(instance -> instance.runs.stream())
            .map(Instance.Run::requestId)
            .collect(Collectors.toCollection(ConcurrentHashMap::newKeySet));
    Map<String, Integer> ends = new TreeMap<>();
    int lost = 0;
    int lostInAll = 0;
    for (Sent one : sent) {
      boolean hasNoAnswer = one.answer().status() == 0;
      boolean isLost = one.vm() == first && hasNoAnswer && ran.contains(one.id());
      lostInAll += isLost ? 1 : 0;
      lost += isLost && one.numberOnConnection() > 1 ? 1 : 0;
      ends.merge(
          one.vm().name + " "
              + (one.answer().failure() == null ? one.answer().status() : one.answer().failure()),
          1,
          Integer::sum);
    }
    record.say("requests: " + ends);
    boolean ended = !first.isAlive();
    record.say(
        ended
            ? "front-1 ended by itself with status " + first.exitValue()
            : "front-1 still runs");
    record.say(
        "front-1 passed on and left without an answer: " + lostInAll + ", of these on connections"
            + " that had carried a request before: " + lost + " (allowed " + ALLOWED_LOST + ")");
    return lost > ALLOWED_LOST ? 1 : 0;
  }
}
