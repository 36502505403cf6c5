import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A tenant uploads bodies of 200 KB, and then sends 7.5 times as many as usual. The processes have
 * to go on.
 */
public final class HotUploads {
  /** Consumers at each machine; each waits for its answer before its next upload. */
  private static final int USUAL_CONSUMERS = 2;

  private static final double HOT_FACTOR = 7.5;
  private static final int PAUSE_MILLIS = 50;
  private static final int BODY_BYTES = 200_000;
  private static final int DEADLINE_MILLIS = 2_000;
  private static final double LENGTH_SECONDS = 40;
  private static final int ENDS_ALLOWED = 2;
  private static final int MACHINES = 2;

  private final Rig rig;
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private volatile boolean stopped;

  private HotUploads(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) {
    Rig.runAndExit(arguments, rig -> new HotUploads(rig).run());
  }

  private int run() throws Exception {
    for (int i = 0; i < 6; i++) {
      Instance instance =
          rig.add(new Instance(rig, "i-" + i, "rota", i % 2 == 0 ? "waikato" : "taranaki", 3));
      instance.setHandler(
          (self, request, socket, out) -> {
            Thread.sleep(50);
            out.write(self.answer(request, "200 OK", "ran " + request.id()));
            out.flush();
            return true;
          });
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
    int[] ends = new int[MACHINES];
    List<Thread> consumers = new ArrayList<>();
    int count = rig.trouble ? (int) (USUAL_CONSUMERS * HOT_FACTOR) : USUAL_CONSUMERS;
    rig.note(count + " consumers at each machine");
    for (Rig.Vm vm : rig.vms) {
      for (int i = 0; i < count; i++) {
        Thread consumer = new Thread(() -> upload(vm));
        consumer.setDaemon(true);
        consumer.start();
        consumers.add(consumer);
      }
    }
    double end = rig.elapsedSeconds() + LENGTH_SECONDS;
    while (rig.elapsedSeconds() < end) {
      for (int i = 0; i < MACHINES; i++) {
        Rig.Vm vm = rig.vms.get(i);
        if (!vm.process.isAlive()) {
          ends[i]++;
          List<String> lines = Rig.logLines(vm, "Terminating");
          rig.note(
              vm.name + " ended by itself with status " + vm.process.exitValue() + ": "
                  + (lines.isEmpty() ? "" : lines.get(lines.size() - 1)));
          rig.start(vm);
        }
      }
      Thread.sleep(100);
    }
    stopped = true;
    for (Thread consumer : consumers) {
      consumer.join(4_000);
    }
    int looping = 0;
    for (int i = 0; i < MACHINES; i++) {
      rig.note(rig.vms.get(i).name + ": ended by itself " + ends[i] + " times");
      looping += ends[i] > ENDS_ALLOWED ? 1 : 0;
    }
    rig.note(
        sent + " uploads sent, " + answered + " answered, " + unanswered + " ended without an answer");
    rig.note(looping + " of " + MACHINES + " machines ended three times or more");
    return looping >= 2 ? 1 : 0;
  }

  private void upload(Rig.Vm vm) {
    byte[] body = new byte[BODY_BYTES];
    Arrays.fill(body, (byte) 'b');
    while (!stopped) {
      String id = "u" + sent.incrementAndGet();
      try (Caller caller = new Caller(vm.callerPort)) {
        caller.write(
            Caller.head(
                    "POST", "/book/" + id, Config.SITE_HOST, id, DEADLINE_MILLIS, Config.KEY, BODY_BYTES)
                .getBytes());
        caller.write(body);
        (caller.read(DEADLINE_MILLIS + 1_000).status == 0 ? unanswered : answered)
            .incrementAndGet();
      } catch (IOException e) {
        unanswered.incrementAndGet();
      }
      try {
        Thread.sleep(PAUSE_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
