import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;

/** Some consumers of idempotent requests close their connections before their time limit. */
final class GiveUp {
  private static final int REQUESTS = 120;
  private static final long INTERVAL_MILLIS = 120;
  private static final double LEAVING_SHARE = 0.3;
  private static final long LEAVE_AFTER_MILLIS = 300;
  private static final long WORK_MILLIS = 1_500;
  private static final double HALF_SECOND = 0.5;

  private GiveUp() {}

  public static void main(String[] arguments) {
    Harness.play(arguments, GiveUp::run);
  }

  private static int run(Harness harness, Record record, boolean trouble) throws Exception {
    List<Instance> instances = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      Instance instance = new Instance("i-" + i, "lookups", "a", 2, record);
      instances.add(instance);
      harness.store.put(instance.key(), instance.entry("ready"));
    }
    harness.store.put(
        "op/config",
        new Configuration(7)
            .service("lookups")
            .route("r-lookups", "/lookups/", "safe", 4, "lookups", 2)
            .tenant("tenant", 0, 0, "key")
            .render());
    if (!harness.startVms(2)) {
      return 2;
    }
    Harness.sleep(5_000);
    for (int i = 0; i < 30; i++) {
      Client.status(record, harness.vms().get(i % 2), "GET", "/lookups/warm", "key");
    }
    instances.forEach(instance -> instance.workMillis = WORK_MILLIS);
    Map<String, Double> closedAt = Collections.synchronizedMap(new HashMap<>());
    List<Integer> statuses = Collections.synchronizedList(new ArrayList<>());
    Random random = new Random(1);
    CountDownLatch ended = new CountDownLatch(REQUESTS);
    for (int i = 0; i < REQUESTS; i++) {
      Harness.Vm vm = harness.vms().get(random.nextInt(2));
      boolean leaves = trouble && random.nextDouble() < LEAVING_SHARE;
      Harness.daemon(
          "consumer",
          () -> {
            String id = Client.newId();
            try (Client client = new Client(vm.callerPort, 4_500)) {
              record.add("send id=" + id + " vm=" + vm.name + " GET /lookups/long");
              client.send(Client.head("GET", "/lookups/long", id, "key", 4_000) + "\r\n");
              if (leaves) {
                Harness.sleep(LEAVE_AFTER_MILLIS);
                client.socket.close();
                closedAt.put(id, record.now());
                record.add("close id=" + id);
              } else {
                Message answer = client.receive();
                record.add("answer id=" + id + " status=" + (answer == null ? 0 : answer.status()));
                statuses.add(answer == null ? 0 : answer.status());
              }
            } catch (IOException e) {
              record.add("no answer id=" + id);
            } finally {
              ended.countDown();
            }
          });
      Harness.sleep(INTERVAL_MILLIS);
    }
    ended.await();
    Harness.sleep(6_000);
    int lasting = 0;
    int atWork = 0;
    int late = 0;
    List<Record.Event> events = record.events();
    for (Record.Event event : events) {
      Double closed = closedAt.get(event.requestId());
      if (closed == null) {
        continue;
      }
      if (event.what().equals("arrive") && event.at() > closed + HALF_SECOND) {
        late++;
      }
      if (event.what().equals("run")
          && event.at() < closed + HALF_SECOND
          && event.at() + WORK_MILLIS / 1e3 > closed + HALF_SECOND) {
        lasting++;
        boolean ends =
            events.stream()
                .anyMatch(
                    other ->
                        other.requestId().equals(event.requestId())
                            && other.instance().equals(event.instance())
                            && other.what().equals("drop")
                            && other.at() >= event.at()
                            && other.at() <= closed + HALF_SECOND);
        atWork += ends ? 0 : 1;
      }
    }
    long served = statuses.stream().filter(status -> status == 200).count();
    record.add(
        "consumers that left=" + closedAt.size() + " runs that would have lasted half a second "
            + "longer=" + lasting + " still at work then=" + atWork
            + " arrivals over half a second after the close=" + late + " others served=" + served);
    if (served == 0) {
      return 2;
    }
    return atWork > lasting / 4.0 || late > 10 ? 1 : 0;
  }
}
