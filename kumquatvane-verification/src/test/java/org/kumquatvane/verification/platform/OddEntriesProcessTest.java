package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.verification.process.Conditions;

/**
 * Guards against VMs that run out of memory, or stop following the store, because of the number,
 * size or structure of entries that another writer has left among those of the instances.
 */
class OddEntriesProcessTest {
  private static final int VMS = 3;
  private static final int REWRITES = 4;

  private static PlatformFleet fleet;
  private static int round;

  @BeforeAll
  static void startFleet() throws IOException {
    fleet = new PlatformFleet(VMS, 2);
  }

  @AfterAll
  static void stopFleet() {
    fleet.close();
  }

  /** Content of an entry. */
  enum Content {
    UNREADABLE {
      @Override
      String write(int number, int bytes) {
        return "\u00fc".repeat(bytes / 2);
      }
    },
    /** As many values as fit, and no instance. */
    DENSE {
      @Override
      String write(int number, int bytes) {
        return "[" + "0,".repeat(bytes / 2 - 1) + "0]";
      }
    },
    /** An instance of a service without routes, with a large field that is not used. */
    INSTANCE {
      @Override
      String write(int number, int bytes) {
        String entry =
            "{\"service\":\"other\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"concurrency\":1,"
                    .formatted(1 + number % 1_000)
                + "\"state\":\"ready\",\"note\":[%s]}";
        return entry.formatted("0,".repeat(Math.max(0, bytes - entry.length()) / 2) + "0");
      }
    };

    abstract String write(int number, int bytes);
  }

  /**
   * All VMs go on and follow the store, and a VM that starts while the entries are there gets
   * ready. The entries are written again with other sizes meanwhile.
   */
  @ParameterizedTest
  @CsvSource({
    "UNREADABLE, 16, 1048576",
    "DENSE, 16, 1048576",
    "INSTANCE, 16, 1048576",
    "UNREADABLE, 40, 700000",
    "INSTANCE, 3000, 300",
    "UNREADABLE, 6000, 40"
  })
  void vmsGoOnDespiteEntriesOfAnotherWriter(Content content, int entries, int bytes)
      throws Exception {
    List<String> keys = IntStream.range(0, entries).mapToObj(i -> "servers/other-" + i).toList();
    for (int rewrite = 0; rewrite < REWRITES; rewrite++) {
      int size = bytes / (1 + rewrite % 2);
      for (int i = 0; i < entries; i++) {
        fleet.store().put(keys.get(i), content.write(i, size));
      }
      publishAndAwait();
    }
    PlatformFleet.Vm late = fleet.startVm();
    fleet.awaitReady(late);
    publishAndAwait();
    keys.forEach(fleet.store()::remove);
    publishAndAwait();
    late.process().destroyForcibly();
    fleet.forget(late);
  }

  /** Moves a route, which each VM applies only if it reads the newest configuration. */
  private static void publishAndAwait() throws Exception {
    String path = "/bookings-" + ++round + "/";
    fleet.publish(List.of(PlatformFleet.KEY), path);
    List<PlatformFleet.Vm> vms = new ArrayList<>(fleet.vms());
    for (PlatformFleet.Vm vm : vms) {
      Conditions.await(
          "a VM serves the newest route",
          () -> {
            assertTrue(vm.process().isAlive(), vm::log);
            return fleet.send(vm, "POST", path + "1").statusCode() == 200;
          },
          vm::log);
    }
  }
}
