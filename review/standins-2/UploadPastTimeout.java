import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new version shortens the time-out of a route. Uploads that take longer than it, on kept
 * connections, have to be answered; the instances are sound throughout.
 */
public final class UploadPastTimeout {
  private static final int UPLOADS = 8;
  private static final int BODY_BYTES = 600_000;
  private static final int PARTS = 20;
  private static final int PART_PAUSE_MILLIS = 75;
  private static final int DEADLINE_MILLIS = 5_000;
  private static final int MOST_ALLOWED = 3;

  public static void main(String[] arguments) {
    Rig.runAndExit(arguments, UploadPastTimeout::run);
  }

  private static int run(Rig rig) throws Exception {
    List<Instance> instances = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      Instance instance =
          rig.add(new Instance(rig, "i-" + i, "rota", i % 2 == 0 ? "waikato" : "taranaki", 3));
      instances.add(instance);
      rig.store.put(instance.key(), instance.entry("ready"));
    }
    rig.store.put("op/config", Config.standard(7));
    rig.addVm("front-waikato-1", "waikato");
    rig.addVm("front-taranaki-1", "taranaki");
    rig.startAll();
    if (!rig.awaitReady(40)) {
      return 2;
    }
    Thread.sleep(4_000);
    if (rig.trouble) {
      rig.store.put("op/config", Config.standard(8).replace("\"unsafe\",2.5,", "\"unsafe\",1,"));
      rig.note("acknowledged version 8: timeoutS of the unsafe routes is 1 instead of 2.5");
      Thread.sleep(4_000);
    }
    boolean broken = false;
    boolean ran = true;
    for (Rig.Vm vm : rig.vms) {
      AtomicInteger closed = new AtomicInteger();
      AtomicInteger answered = new AtomicInteger();
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < UPLOADS; i++) {
        String id = vm.name + "-" + i;
        Thread thread = new Thread(() -> upload(rig, vm, id, instances, closed, answered));
        thread.start();
        threads.add(thread);
        Thread.sleep(300);
      }
      for (Thread thread : threads) {
        thread.join();
      }
      rig.note(
          vm.name + ": " + answered + " of " + UPLOADS + " uploads answered, " + closed
              + " reached a sound instance and ended with a closed connection");
      broken |= closed.get() > MOST_ALLOWED;
      ran &= closed.get() + answered.get() == UPLOADS;
    }
    return broken ? 1 : ran ? 0 : 2;
  }

  private static void upload(
      Rig rig,
      Rig.Vm vm,
      String id,
      List<Instance> instances,
      AtomicInteger closed,
      AtomicInteger answered) {
    try (Caller caller = new Caller(vm.callerPort)) {
      String first = id + "-first";
      Caller.Answer kept =
          caller.send(
              Caller.head("GET", "/look/" + first, Config.SITE_HOST, first, 2_000, Config.KEY, -1),
              new byte[0],
              3_000);
      rig.note("answer " + first + " " + kept);
      ConcurrentHashMap<String, Caller.Answer> answers = new ConcurrentHashMap<>();
      Thread reader =
          new Thread(() -> answers.put(id, caller.read(DEADLINE_MILLIS + 2_000)));
      reader.start();
      long start = System.nanoTime();
      rig.note("send " + id + " POST /book/" + id + " body=" + BODY_BYTES);
      try {
        caller.write(
            Caller.head(
                    "POST", "/book/" + id, Config.SITE_HOST, id, DEADLINE_MILLIS, Config.KEY, BODY_BYTES)
                .getBytes());
        byte[] part = new byte[BODY_BYTES / PARTS];
        Arrays.fill(part, (byte) 'b');
        for (int i = 0; i < PARTS && reader.isAlive(); i++) {
          caller.write(part);
          Thread.sleep(PART_PAUSE_MILLIS);
        }
      } catch (IOException e) {
        rig.note("send " + id + " ended: " + e.getMessage());
      }
      reader.join();
      Caller.Answer answer = answers.get(id);
      boolean reached = instances.stream().anyMatch(instance -> instance.reached.contains(id));
      rig.note(
          String.format(
              "answer %s %s after %.2f s, reached an instance: %s",
              id, answer, (System.nanoTime() - start) / 1e9, reached));
      if (answer.status != 0) {
        answered.incrementAndGet();
      } else if (reached && kept.status == 200 && !answer.failure.contains("timed out")) {
        closed.incrementAndGet();
      }
    } catch (IOException | InterruptedException e) {
      rig.note("upload " + id + " could not be made: " + e);
    }
  }
}
