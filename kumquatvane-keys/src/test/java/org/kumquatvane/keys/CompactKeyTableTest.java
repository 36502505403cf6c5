package org.kumquatvane.keys;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.FleetPolicy;
import org.kumquatvane.document.LimitMechanism;
import org.kumquatvane.document.RateLimit;
import org.kumquatvane.document.Workspace;

class CompactKeyTableTest {
  private static final int KEYS = 8;

  private final CompactKeyTable table = new CompactKeyTable();

  /** Returns digests that share their first eight bytes in groups of four, so that they collide. */
  private static KeyDigest digest(long number) {
    return KeyDigest.ofBytes(
        ByteBuffer.allocate(32).putLong(0, number / 4).putLong(24, number).array());
  }

  private static Document document(long generation, List<List<KeyDigest>> keysOfWorkspaces) {
    List<Workspace> workspaces = new ArrayList<>();
    for (List<KeyDigest> keys : keysOfWorkspaces) {
      WorkspaceId id = new WorkspaceId("w" + workspaces.size());
      workspaces.add(new Workspace(id, keys, new RateLimit(1, 1)));
    }
    FleetPolicy fleet = new FleetPolicy(1, LimitMechanism.STATIC_DIVISION);
    return new Document(generation, "d" + generation, fleet, workspaces, List.of(), List.of());
  }

  /** A document that grants the keys of a bit mask, or the withdrawal of one key. */
  private record Step(boolean isDocument, int mask, int generationAhead) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.of(true, false),
            Arbitraries.integers().between(0, (1 << KEYS) - 1),
            Arbitraries.integers().between(-1, 4))
        .as(Step::new)
        .list()
        .ofMaxSize(30);
  }

  /** Guards against accepted withdrawn keys and against rejected granted keys. */
  @Property(tries = 1_000, seed = "20261208")
  void matchesReferenceModel(@ForAll("steps") List<Step> steps) {
    CompactKeyTable tested = new CompactKeyTable();
    Map<Integer, Integer> granted = new HashMap<>();
    Map<Integer, Long> withdrawalGenerations = new HashMap<>();
    long generation = 0;
    for (Step step : steps) {
      if (step.isDocument()) {
        generation += 1 + Math.max(0, step.generationAhead());
        granted.clear();
        List<List<KeyDigest>> workspaces = List.of(new ArrayList<>(), new ArrayList<>());
        for (int key = 0; key < KEYS; key++) {
          if ((step.mask() >> key & 1) == 1) {
            granted.put(key, key % 2);
            workspaces.get(key % 2).add(digest(key));
          }
        }
        tested.documentInForce(document(generation, workspaces));
      } else {
        int key = step.mask() % KEYS;
        withdrawalGenerations.merge(key, generation + step.generationAhead(), Math::max);
        tested.withdraw(digest(key), generation + step.generationAhead());
      }
      for (int key = 0; key < KEYS; key++) {
        boolean withdrawn = withdrawalGenerations.getOrDefault(key, Long.MIN_VALUE) > generation;
        Optional<WorkspaceId> expected =
            withdrawn
                ? Optional.empty()
                : Optional.ofNullable(granted.get(key)).map(owner -> new WorkspaceId("w" + owner));
        assertEquals(expected, tested.find(digest(key)), () -> steps.toString());
      }
    }
  }

  /** Guards against an older document that arrives late and grants keys again. */
  @ParameterizedTest
  @CsvSource({"4, false", "5, false", "6, true"})
  void ignoresDocumentsWithoutNewerGeneration(long generation, boolean applied) {
    table.documentInForce(document(5, List.of()));
    table.documentInForce(document(generation, List.of(List.of(digest(1)))));
    assertEquals(applied, table.find(digest(1)).isPresent());
  }

  /** Guards against withdrawals that are never removed from memory. */
  @Test
  void removesLapsedWithdrawals() {
    table.withdraw(digest(1), 3);
    table.withdraw(digest(2), 5);
    table.documentInForce(document(4, List.of()));
    assertEquals(1, table.pendingWithdrawals());
  }

  /** Guards against a lookup that finds a withdrawn key while a document comes into force. */
  @Test
  void concurrentLookupNeverFindsWithdrawnKey() throws Exception {
    int rounds = 20_000;
    AtomicLong withdrawn = new AtomicLong(-1);
    CompletableFuture<Void> writer =
        CompletableFuture.runAsync(
            () -> {
              for (long i = 0; i < rounds; i++) {
                table.documentInForce(document(2 * i, List.of(List.of(digest(i)))));
                table.withdraw(digest(i), 2 * i + 1);
                withdrawn.set(i);
                table.documentInForce(document(2 * i + 1, List.of()));
              }
            });
    while (!writer.isDone()) {
      long number = withdrawn.get();
      assertTrue(number < 0 || table.find(digest(number)).isEmpty(), "key " + number);
    }
    writer.get(60, TimeUnit.SECONDS);
  }

  /** Guards against growth of the memory per key, up to the design size of 1 million keys. */
  @ParameterizedTest
  @ValueSource(ints = {1, 1_000, 1_000_000})
  void memoryPerKeyIsBounded(int keys) {
    SplittableRandom random = new SplittableRandom(20261209);
    List<KeyDigest> digests = new ArrayList<>(keys);
    for (int i = 0; i < keys; i++) {
      byte[] bytes = new byte[KeyDigest.LENGTH_BYTES];
      random.nextBytes(bytes);
      digests.add(KeyDigest.ofBytes(bytes));
    }
    table.documentInForce(document(1, List.of(digests)));
    assertTrue(table.sizeBytes() <= 42L * keys + 8, () -> table.sizeBytes() + " bytes");
    digests.forEach(digest -> assertTrue(table.find(digest).isPresent()));
    assertTrue(table.find(digest(-1)).isEmpty());
  }
}
