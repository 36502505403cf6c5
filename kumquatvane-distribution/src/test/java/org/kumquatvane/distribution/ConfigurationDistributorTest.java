package org.kumquatvane.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.VmId;

/** Guards against configuration that is late, lost, reverted or read by too many VMs. */
class ConfigurationDistributorTest {
  private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(3);
  private static final int READERS = 6;
  private static final int MEASUREMENT_MINUTES = 3;

  /** Two readers in each of three failure domains hold two watches of 30 s each. */
  @ParameterizedTest
  @ValueSource(ints = {10, 20, 40})
  void platformCallsAreBoundedByReaders(int size) {
    DistributionFleet fleet = DistributionFleet.withDocument(size, "generation 1");
    fleet.advance(Duration.ofMinutes(1));
    fleet.platform.calls = 0;
    fleet.platform.callers.clear();
    fleet.advance(Duration.ofMinutes(MEASUREMENT_MINUTES));
    System.out.printf(
        "platform: vms=%d readers=%d calls_per_minute=%.1f%n",
        size, fleet.platform.callers.size(), fleet.platform.calls / (double) MEASUREMENT_MINUTES);
    assertEquals(READERS, fleet.platform.callers.size());
    assertTrue(fleet.platform.calls <= READERS * 2 * 2 * MEASUREMENT_MINUTES);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 10, 40})
  void newDocumentIsInForceOnAllVmsWithinLimit(int size) {
    DistributionFleet fleet = DistributionFleet.withDocument(size, "generation 1");
    String padding = "pad ".repeat(200_000);
    fleet.platform.publish(DistributionFleet.VALUE, TextDocuments.bytes("generation 2", padding));
    Duration spread = fleet.advanceUntilAll(member -> member.generation() == 2, PROPAGATION_LIMIT);
    System.out.printf("document: vms=%d bytes=800000 spread=%s%n", size, spread);
  }

  @Test
  void withdrawalsArriveBeforeTheDocument() {
    DistributionFleet fleet =
        DistributionFleet.withDocument(10, "generation 1", "key kept", "key withdrawn");
    fleet.network.setDelay(Duration.ofMillis(40), Duration.ofMillis(41));
    String padding = "pad ".repeat(200_000);
    fleet.platform.publish(
        DistributionFleet.VALUE, TextDocuments.bytes("generation 2", "key kept", padding));
    fleet.advance(Duration.ofMillis(100));
    assertTrue(fleet.running().stream().anyMatch(member -> member.generation() == 1));
    for (DistributionFleet.Member member : fleet.running()) {
      assertFalse(member.grants("withdrawn"));
      assertTrue(member.grants("kept"));
    }
  }

  /** All messages are lost; heartbeats then cause the withdrawal and the document to be resent. */
  @Test
  void lostMessagesAreRecovered() {
    DistributionFleet fleet = DistributionFleet.withDocument(6, "generation 1", "key withdrawn");
    fleet.network.setFaults(1, 0);
    fleet.platform.publish(DistributionFleet.VALUE, TextDocuments.bytes("generation 2"));
    fleet.advance(Duration.ofMillis(900));
    fleet.network.setFaults(0, 0);
    fleet.advanceUntilAll(
        member -> member.generation() == 2 && !member.grants("withdrawn"), PROPAGATION_LIMIT);
  }

  @Test
  void failedReadersAreReplaced() {
    DistributionFleet fleet = DistributionFleet.withDocument(10, "generation 1");
    fleet.platform.callers.clear();
    fleet.advance(Duration.ofMinutes(2));
    Set<VmId> first = Set.copyOf(fleet.platform.callers);
    fleet.running().stream()
        .filter(member -> first.contains(member.vm.id()))
        .forEach(DistributionFleet.Member::kill);
    fleet.platform.publish(DistributionFleet.VALUE, TextDocuments.bytes("generation 2"));
    fleet.advanceUntilAll(member -> member.generation() == 2, Duration.ofSeconds(10));
  }

  /**
   * A replacement VM must not apply a stale document of its source while peers have a newer one.
   */
  @Test
  void startingVmPrefersNewerDocumentOfPeers() {
    DistributionFleet fleet = DistributionFleet.withDocument(5, "generation 4");
    fleet.platform.publish(DistributionFleet.VALUE, TextDocuments.bytes("generation 2"));
    fleet.advance(Duration.ofSeconds(1));
    DistributionFleet.Member started = fleet.startVm();
    fleet.advanceUntilAll(member -> member.generation() > 0, PROPAGATION_LIMIT);
    fleet.advance(Duration.ofSeconds(10));
    assertEquals(List.of(4L), started.generations);
    assertTrue(fleet.counters.value("distribution.documents.older") > 0);
  }

  @Test
  void startingFleetUsesSourceAfterPeerWaitTimeout() {
    DistributionFleet fleet = new DistributionFleet(1, 4);
    fleet.platform.publish(DistributionFleet.VALUE, TextDocuments.bytes("generation 1"));
    fleet.advance(Duration.ofMillis(2_900));
    assertTrue(fleet.running().stream().allMatch(member -> member.generation() == 0));
    fleet.advanceUntilAll(member -> member.generation() == 1, PROPAGATION_LIMIT);
  }

  @Test
  void startingVmReceivesConfigurationFromPeersWhileSourceIsUnavailable() {
    DistributionFleet fleet = DistributionFleet.withDocument(5, "generation 1", "key k");
    fleet.members.keySet().forEach(fleet.platform.cutOff::add);
    DistributionFleet.Member started = fleet.startVm();
    fleet.publishList();
    fleet.advance(Duration.ofSeconds(2));
    fleet.platform.cutOff.add(started.vm.id());
    fleet.advanceUntilAll(member -> member.grants("k"), PROPAGATION_LIMIT);
  }

  @Test
  void conflictingSourceDocumentsAreReportedAndNeverReverted() {
    DistributionFleet fleet = DistributionFleet.withDocument(10, "generation 1");
    VmId reader = fleet.platform.callers.iterator().next();
    fleet.platform.overrideValue(
        reader, DistributionFleet.VALUE, TextDocuments.bytes("generation 2", "key other"));
    fleet.platform.publish(DistributionFleet.VALUE, TextDocuments.bytes("generation 2"));
    fleet.advanceUntilAll(member -> member.generation() == 2, PROPAGATION_LIMIT);
    fleet.advance(Duration.ofSeconds(5));
    assertTrue(fleet.counters.value("distribution.documents.conflicting") > 0);
    fleet.platform.clearFaults();
    fleet.platform.publish(DistributionFleet.VALUE, TextDocuments.bytes("generation 3"));
    fleet.advanceUntilAll(member -> member.generation() == 3, PROPAGATION_LIMIT);
  }

  @Test
  void invalidDocumentKeepsLastValidOneInForce() {
    DistributionFleet fleet = DistributionFleet.withDocument(4, "generation 1");
    fleet.platform.publish(DistributionFleet.VALUE, TextDocuments.bytes("generation 2", "invalid"));
    fleet.advance(Duration.ofSeconds(20));
    assertTrue(fleet.running().stream().allMatch(member -> member.generation() == 1));
    assertTrue(fleet.counters.value("distribution.documents.invalid") <= READERS * 2);
  }

  @Test
  void onlyChangedFragmentsAreTransferred() {
    byte[] large = ("pad ".repeat(100_000) + "\nkey large").getBytes(StandardCharsets.UTF_8);
    byte[] small = TextDocuments.bytes("key small");
    DistributionFleet fleet = new DistributionFleet(7, 10);
    fleet.platform.publish("large", large);
    fleet.platform.publish("small", small);
    publishFragments(fleet, 1, large, small);
    fleet.advanceUntilAll(
        member -> member.grants("large") && member.grants("small"), Duration.ofSeconds(10));
    fleet.advance(PROPAGATION_LIMIT);
    fleet.partBytesSent = 0;
    byte[] changed = TextDocuments.bytes("key changed");
    fleet.platform.publish("small", changed);
    publishFragments(fleet, 2, large, changed);
    fleet.advanceUntilAll(
        member -> member.grants("changed") && !member.grants("small"), Duration.ofSeconds(5));
    assertTrue(fleet.running().stream().allMatch(member -> member.grants("large")));
    assertTrue(fleet.partBytesSent < large.length, "sent " + fleet.partBytesSent);
  }

  private static void publishFragments(
      DistributionFleet fleet, int generation, byte[] large, byte[] small) {
    fleet.platform.publish(
        DistributionFleet.VALUE,
        TextDocuments.bytes(
            "generation " + generation,
            "fragment large " + ContentDigest.of(large).hex(),
            "fragment small " + ContentDigest.of(small).hex()));
  }
}
