package org.kumquatvane.peering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.FixedWorkerPool;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.SystemClock;
import org.kumquatvane.core.VmId;
import org.kumquatvane.distribution.ContentDigest;
import org.kumquatvane.distribution.DocumentPart;
import org.kumquatvane.membership.ConfigurationVersions;
import org.kumquatvane.membership.Heartbeat;
import org.kumquatvane.membership.HeartbeatReply;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.membership.VmState;
import org.kumquatvane.peering.codec.MessageRegistry;
import org.kumquatvane.peering.codec.PeerCodecs;
import org.kumquatvane.testing.DiscardingEventLog;
import org.kumquatvane.testing.RecordingCounters;

/** Guards against faults in authentication, framing, buffering and reconnecting between VMs. */
class PeerNetworkTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final String SECRET = "a fleet secret of the tests";
  private static final Heartbeat MESSAGE = new Heartbeat(1, 2, ConfigurationVersions.NONE);

  /** Bytes that each direction of a handshake has at least and, with a message, at most. */
  private static final int MINIMUM_CUT_BYTES = 32;

  private static final int MAXIMUM_CUT_BYTES = 1_000;

  private final List<TestVm> testVms = new ArrayList<>();

  @AfterEach
  void closeTestVms() {
    testVms.forEach(TestVm::close);
  }

  @Test
  void messagesAreDeliveredInBothDirectionsAndCounted() throws Exception {
    TestVm first = start("e1", SECRET);
    TestVm second = start("e2", SECRET);
    publish(first, second);
    first.network.send(second.id, MESSAGE);
    second.network.send(first.id, new HeartbeatReply(1, 2));
    await(() -> second.received.contains("e1 " + MESSAGE) && first.received.size() == 1);
    assertEquals(1, first.counters.value("peer.sent.messages.heartbeat"));
    assertEquals(
        first.counters.value("peer.sent.bytes.heartbeat"),
        second.counters.value("peer.received.bytes.heartbeat"));
  }

  /** Guards against a starting VM that receives no replies from peers that do not list it yet. */
  @Test
  void unlistedVmReceivesReplies() throws Exception {
    TestVm listed = start("e1", SECRET);
    TestVm starting = start("e2", SECRET);
    starting.network.vmListChanged(list(listed));
    starting.network.send(listed.id, MESSAGE);
    await(() -> listed.received.size() == 1);
    listed.network.send(starting.id, new HeartbeatReply(1, 2));
    await(() -> starting.received.size() == 1);
  }

  @Test
  void connectionWithDifferentSecretIsRejectedByBothSides() throws Exception {
    TestVm first = start("e1", SECRET);
    TestVm other = start("e2", "another secret of some length");
    publish(first, other);
    first.network.send(other.id, MESSAGE);
    other.network.send(first.id, MESSAGE);
    await(
        () ->
            first.counters.value("peer.dropped.connection_lost") > 0
                && other.counters.value("peer.dropped.connection_lost") > 0);
    assertTrue(first.received.isEmpty() && other.received.isEmpty());
  }

  @Test
  void replacementVmAtSameAddressReceivesNoMessagesForItsPredecessor() throws Exception {
    TestVm first = start("e1", SECRET);
    TestVm replacement = start("e3", SECRET);
    Vm stale = replacement.vm("e2");
    first.network.vmListChanged(new VmList(1, List.of(stale), List.of()));
    first.network.send(stale.id(), MESSAGE);
    await(() -> first.counters.value("peer.dropped.connection_lost") > 0);
    assertTrue(replacement.received.isEmpty());
  }

  /** Guards against unauthenticated frames that keep a connection open or allocate memory. */
  @ParameterizedTest
  @ValueSource(strings = {"7fffffff", "00000401", "0000000181006500", "000000028100", "ffffffff"})
  void invalidHandshakeFrameClosesConnection(String hex) throws Exception {
    TestVm testVm = start("e1", SECRET);
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), testVm.port)) {
      socket.setSoTimeout((int) TIMEOUT.toMillis());
      socket.getOutputStream().write(java.util.HexFormat.of().parseHex(hex));
      InputStream in = socket.getInputStream();
      assertEquals(-1, readOrReset(in));
    }
  }

  /** Guards against a listen address that is still in use after the network was closed. */
  @RepeatedTest(20)
  void listenAddressCanBeReusedAfterClose() throws Exception {
    TestVm first = start("e1", SECRET);
    first.close();
    testVms.add(new TestVm("e1", SECRET, first.port));
  }

  @Test
  void lostConnectionIsReestablished() throws Exception {
    TestVm first = start("e1", SECRET);
    TestVm second = start("e2", SECRET);
    publish(first, second);
    first.network.send(second.id, MESSAGE);
    await(() -> second.received.size() == 1);
    second.close();
    TestVm restarted = new TestVm("e2", SECRET, second.port);
    testVms.add(restarted);
    await(
        () -> {
          first.network.send(restarted.id, MESSAGE);
          return !restarted.received.isEmpty();
        });
  }

  /** Guards against a connection that stays in use after a network device lost its state. */
  @Test
  void connectionWithoutAcknowledgementsIsReplaced() throws Exception {
    TestVm first = start("e1", SECRET);
    TestVm second = start("e2", SECRET);
    try (BlackholeProxy proxy = new BlackholeProxy(second.port)) {
      first.network.vmListChanged(new VmList(1, List.of(vm("e2", proxy.port())), List.of()));
      first.network.send(second.id, MESSAGE);
      await(() -> second.received.size() == 1);
      proxy.discardTraffic();
      await(
          () -> {
            first.network.send(second.id, MESSAGE);
            return second.received.size() > 1;
          });
      assertTrue(first.counters.value("peer.dropped.silent_connections") > 0);
    }
  }

  /**
   * Guards against a handshake or a message that is taken for complete although its connection ends
   * within it. The bytes are increased until the whole message arrives.
   */
  @ParameterizedTest
  @CsvSource({"TO_TARGET,false", "TO_TARGET,true", "FROM_TARGET,false", "FROM_TARGET,true"})
  void cutConnectionDeliversOnlyWholeMessages(CuttingProxy.Direction direction, boolean resets)
      throws Exception {
    TestVm receiver = start("e2", SECRET);
    int bytes = 0;
    while (receiver.received.isEmpty()) {
      bytes++;
      assertTrue(bytes < MAXIMUM_CUT_BYTES, "no message arrives");
      TestVm sender = new TestVm("e1", SECRET, 0);
      try (CuttingProxy proxy = new CuttingProxy(receiver.port, direction, bytes, resets)) {
        sender.network.vmListChanged(new VmList(1, List.of(vm("e2", proxy.port())), List.of()));
        sender.network.send(receiver.id, MESSAGE);
        await(() -> proxy.hasCut() || !receiver.received.isEmpty());
      } finally {
        sender.close();
      }
    }
    assertTrue(bytes > MINIMUM_CUT_BYTES, "a message arrived after " + bytes + " bytes");
    receiver.received.forEach(message -> assertEquals("e1 " + MESSAGE, message));
    assertEquals(0, receiver.counters.value("peer.dropped.malformed"));
  }

  @Test
  void idleConnectionIsNotClosed() throws Exception {
    TestVm first = start("e1", SECRET);
    TestVm second = start("e2", SECRET);
    publish(first, second);
    first.network.send(second.id, MESSAGE);
    await(() -> second.received.size() == 1);
    // Twice the acknowledgement timeout; the received acknowledgement must have cancelled it.
    Thread.sleep(3_000);
    first.network.send(second.id, MESSAGE);
    await(() -> second.received.size() == 2);
    assertEquals(0, first.counters.value("peer.dropped.silent_connections"));
  }

  /** Guards against unbounded queues for a peer that accepts connections but never responds. */
  @Test
  void queueForUnresponsivePeerIsBounded() throws Exception {
    TestVm first = start("e1", SECRET);
    try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Vm vm = vm("e2", unresponsive.getLocalPort());
      first.network.vmListChanged(new VmList(1, List.of(vm), List.of()));
      for (int i = 0; i < 20_000; i++) {
        first.network.send(vm.id(), MESSAGE);
      }
      assertTrue(first.counters.value("peer.dropped.send_buffer_full") > 0);
      await(() -> first.counters.value("peer.dropped.connection_lost") > 0);
    }
  }

  @Test
  void messageExceedingMaximumFrameIsDropped() throws Exception {
    TestVm first = start("e1", SECRET);
    TestVm second = start("e2", SECRET);
    publish(first, second);
    ContentDigest digest = ContentDigest.of(new byte[0]);
    first.network.send(
        second.id, new DocumentPart(digest, 1, 0, new byte[MessageRegistry.MAXIMUM_FRAME_BYTES]));
    assertEquals(1, first.counters.value("peer.dropped.not_encodable"));
    first.network.send(second.id, MESSAGE);
    await(() -> second.received.size() == 1);
  }

  @Test
  void fleetSecretIsNotPrinted() {
    byte[] bytes = SECRET.getBytes(StandardCharsets.UTF_8);
    assertEquals("FleetSecret[hidden]", new FleetSecret(bytes).toString());
  }

  private static int readOrReset(InputStream in) {
    try {
      return in.read();
    } catch (IOException reset) {
      return reset instanceof java.net.SocketTimeoutException ? 0 : -1;
    }
  }

  private TestVm start(String id, String secret) throws IOException {
    TestVm testVm = new TestVm(id, secret, 0);
    testVms.add(testVm);
    return testVm;
  }

  private static Vm vm(String name, int port) {
    return new Vm(
        new VmId(name),
        new SocketEndpoint("127.0.0.1", port),
        new FailureDomain("a"),
        VmState.LIVE);
  }

  private static void publish(TestVm... members) {
    for (TestVm testVm : members) {
      testVm.network.vmListChanged(list(members));
    }
  }

  private static VmList list(TestVm... members) {
    List<Vm> vms = new ArrayList<>();
    for (TestVm testVm : members) {
      vms.add(testVm.vm(testVm.id.value()));
    }
    return new VmList(1, vms, List.of());
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "condition not reached within " + TIMEOUT);
      Thread.sleep(10);
    }
  }

  private static final class TestVm {
    final VmId id;
    final int port;
    final PeerNetwork network;
    final Queue<String> received = new ConcurrentLinkedQueue<>();
    final RecordingCounters counters = new RecordingCounters();
    private final FixedWorkerPool workers;

    TestVm(String name, String secret, int requestedPort) throws IOException {
      id = new VmId(name);
      port = requestedPort == 0 ? freePort() : requestedPort;
      workers = new FixedWorkerPool(name, 2, 100, new DiscardingEventLog());
      PeerDispatcher dispatcher = new PeerDispatcher();
      dispatcher.register(Heartbeat.class, (from, m) -> received.add(from + " " + m));
      dispatcher.register(HeartbeatReply.class, (from, m) -> received.add(from + " " + m));
      network =
          new PeerNetwork(
              id,
              settingsWithSmallSendBuffer(new SocketEndpoint("127.0.0.1", port)),
              new FleetSecret(secret.getBytes(StandardCharsets.UTF_8)),
              PeerCodecs.registry(),
              dispatcher,
              workers,
              new SystemClock(),
              counters,
              new DiscardingEventLog());
      network.start();
    }

    Vm vm(String name) {
      return PeerNetworkTest.vm(name, port);
    }

    void close() {
      network.close();
      workers.close();
    }

    /** Uses a send buffer that a few thousand messages fill before the handshake times out. */
    private static PeerNetworkSettings settingsWithSmallSendBuffer(SocketEndpoint listen) {
      PeerNetworkSettings defaults = PeerNetworkSettings.defaults(listen);
      return new PeerNetworkSettings(
          listen,
          64 << 10,
          defaults.totalSendBufferBytes(),
          defaults.receivedMessageCapacity(),
          defaults.totalReceivedBytes(),
          defaults.maximumIncomingConnections(),
          defaults.handshakeTimeout(),
          defaults.acknowledgementTimeout(),
          defaults.acknowledgementInterval(),
          defaults.minimumBackoff(),
          defaults.maximumBackoff());
    }

    private static int freePort() throws IOException {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      }
    }
  }
}
