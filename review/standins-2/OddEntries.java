import java.io.IOException;
import java.util.Random;

/**
 * Another writer leaves entries of the largest allowed size among those of the instances, with
 * bytes that can't be read. The processes have to go on.
 */
public final class OddEntries {
  private static final int VALUE_BYTES = 1_048_576;
  private static final int ENTRIES = Integer.getInteger("entries", 16);
  private static final int MACHINES = 6;
  private static final int ENDS_ALLOWED = 2;
  private static final double LENGTH_SECONDS = 40;

  public static void main(String[] arguments) {
    Rig.runAndExit(arguments, OddEntries::run);
  }

  private static int run(Rig rig) throws Exception {
    for (int i = 0; i < 6; i++) {
      Instance instance =
          rig.add(new Instance(rig, "i-" + i, "rota", i % 2 == 0 ? "waikato" : "taranaki", 3));
      rig.store.put(instance.key(), instance.entry("ready"));
    }
    rig.store.put("op/config", Config.standard(7));
    for (int i = 0; i < MACHINES; i++) {
      String zone = i % 2 == 0 ? "waikato" : "taranaki";
      rig.addVm("front-" + zone + "-" + (i / 2 + 1), zone);
    }
    rig.startAll();
    if (!rig.awaitReady(40)) {
      return 2;
    }
    Thread.sleep(4_000);
    if (rig.trouble) {
      Random random = new Random(42);
      for (int i = 0; i < ENTRIES; i++) {
        byte[] value = new byte[VALUE_BYTES];
        random.nextBytes(value);
        rig.store.put("servers/other-writer-" + i, value);
      }
      rig.note(ENTRIES + " entries of " + VALUE_BYTES + " bytes written by another writer");
    }
    int[] ends = new int[MACHINES];
    int[] unanswered = new int[MACHINES];
    double end = rig.elapsedSeconds() + LENGTH_SECONDS;
    for (int round = 0; rig.elapsedSeconds() < end; round++) {
      for (int i = 0; i < MACHINES; i++) {
        Rig.Vm vm = rig.vms.get(i);
        if (!vm.process.isAlive()) {
          ends[i]++;
          rig.note(
              vm.name + " ended by itself with status " + vm.process.exitValue() + ": "
                  + lastLine(vm));
          rig.start(vm);
        } else if (!request(rig, vm, "q" + round + "-" + i)) {
          unanswered[i]++;
        }
      }
      Thread.sleep(100);
    }
    int looping = 0;
    for (int i = 0; i < MACHINES; i++) {
      rig.note(
          rig.vms.get(i).name + ": ended by itself " + ends[i] + " times, " + unanswered[i]
              + " requests without an answer");
      looping += ends[i] > ENDS_ALLOWED ? 1 : 0;
    }
    rig.note(looping + " of " + MACHINES + " machines ended three times or more");
    return looping >= 2 ? 1 : 0;
  }

  private static String lastLine(Rig.Vm vm) throws IOException {
    var lines = Rig.logLines(vm, "Terminating");
    return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
  }

  private static boolean request(Rig rig, Rig.Vm vm, String id) {
    try (Caller caller = new Caller(vm.callerPort)) {
      Caller.Answer answer =
          caller.send(
              Caller.head("GET", "/look/" + id, Config.SITE_HOST, id, 2_000, Config.KEY, -1),
              new byte[0],
              3_000);
      rig.note("answer " + id + " from " + vm.name + ": " + answer);
      return answer.status != 0;
    } catch (IOException e) {
      rig.note("no answer to " + id + " from " + vm.name + ": " + e.getMessage());
      return false;
    }
  }
}
