package org.kumquatvane.peering;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkerPool;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.membership.VmList;
import org.kumquatvane.membership.VmListListener;
import org.kumquatvane.peering.codec.MessageRegistry;
import org.kumquatvane.peering.internal.ByteBudget;
import org.kumquatvane.peering.internal.Handshake;
import org.kumquatvane.peering.internal.IncomingPeer;
import org.kumquatvane.peering.internal.OutgoingFrame;
import org.kumquatvane.peering.internal.OutgoingPeer;
import org.kumquatvane.peering.internal.SelectableConnection;
import org.kumquatvane.peering.internal.TrafficCounters;

/** TCP connections between the VMs of a fleet. All socket I/O runs on one thread. */
public final class PeerNetwork implements PeerSender, VmListListener, AutoCloseable {
  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  /** Interval at which connection deadlines are checked and acknowledgements are sent. */
  private static final long DEADLINE_CHECK_MILLIS = 250;

  private static final int READ_BUFFER_BYTES = 64 << 10;

  private final VmId self;
  private final PeerNetworkSettings settings;
  private final MessageRegistry registry;
  private final Clock clock;
  private final EventLog eventLog;
  private final TrafficCounters traffic;
  private final ByteBudget sendBudget;
  private final Handshake handshake;
  private final IncomingPeer.SharedContext incomingContext;
  private final Map<VmId, OutgoingPeer> outgoing = new ConcurrentHashMap<>();
  private final Set<VmId> listedVms = ConcurrentHashMap.newKeySet();
  private final Queue<OutgoingPeer> pendingPeers = new ConcurrentLinkedQueue<>();
  private final Set<IncomingPeer> incoming = new HashSet<>();
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
  private final Selector selector;
  private final ServerSocketChannel server;
  private final Thread thread;
  private volatile boolean closed;

  /**
   * Opens the listening socket; {@link #start} starts accepting and connecting.
   *
   * @param self this VM
   * @param settings limits and timeouts
   * @param secret the fleet secret
   * @param registry message codecs
   * @param dispatcher handles received messages
   * @param workers runs the handlers
   * @param clock clock used for deadlines
   * @param counters receives message and byte counts by message type and direction
   * @param eventLog receives I/O errors and connection events
   * @throws IOException if the address is not available
   */
  public PeerNetwork(
      VmId self,
      PeerNetworkSettings settings,
      FleetSecret secret,
      MessageRegistry registry,
      PeerDispatcher dispatcher,
      WorkerPool workers,
      Clock clock,
      Counters counters,
      EventLog eventLog)
      throws IOException {
    this.self = self;
    this.settings = settings;
    this.registry = registry;
    this.clock = clock;
    this.eventLog = eventLog;
    traffic = new TrafficCounters(counters);
    handshake = new Handshake(secret, self, settings.listen());
    incomingContext =
        new IncomingPeer.SharedContext(
            settings,
            handshake,
            registry,
            dispatcher,
            workers,
            clock,
            eventLog,
            traffic,
            new ByteBudget(settings.totalReceivedBytes()));
    sendBudget = new ByteBudget(settings.totalSendBufferBytes());
    selector = Selector.open();
    server = ServerSocketChannel.open();
    try {
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      server.bind(new InetSocketAddress(settings.listen().host(), settings.listen().port()));
      server.configureBlocking(false);
      server.register(selector, SelectionKey.OP_ACCEPT);
    } catch (IOException e) {
      server.close();
      selector.close();
      throw e;
    }
    thread = new Thread(this::run, "peer-io");
    thread.setDaemon(true);
  }

  /** Starts the I/O thread. */
  public void start() {
    thread.start();
  }

  @Override
  public void send(VmId destination, PeerMessage message) {
    sendToAll(List.of(destination), message);
  }

  @Override
  public void sendToAll(Collection<VmId> destinations, PeerMessage message) {
    List<OutgoingPeer> peers = new ArrayList<>();
    for (VmId destination : destinations) {
      OutgoingPeer peer = outgoing.get(destination);
      if (peer == null) {
        traffic.recordDropped("unknown_peer", 1);
      } else {
        peers.add(peer);
      }
    }
    if (peers.isEmpty()) {
      return;
    }
    ByteBuffer encoded;
    try {
      encoded = registry.encode(message);
    } catch (IllegalArgumentException e) {
      // Not thrown to the caller, which may be sending many messages in a loop.
      traffic.recordDropped("not_encodable", peers.size());
      eventLog.record(
          EventLog.Level.WARNING, "peer_message_not_encodable", LogField.of("error", e));
      return;
    }
    Optional<OutgoingFrame> frame = OutgoingFrame.create(encoded, sendBudget);
    if (frame.isEmpty()) {
      traffic.recordDropped("send_buffer_full", peers.size());
      return;
    }
    peers.forEach(peer -> enqueue(peer, frame.get(), registry.metricLabel(message)));
    frame.get().release();
  }

  private void enqueue(OutgoingPeer peer, OutgoingFrame frame, String metricLabel) {
    if (peer.enqueue(frame)) {
      traffic.recordSent(metricLabel, frame.sizeBytes());
      schedule(peer);
    } else {
      traffic.recordDropped("send_buffer_full", 1);
    }
  }

  @Override
  public void vmListChanged(VmList list) {
    Set<VmId> listedIds = new HashSet<>();
    for (Vm vm : list.entryVms()) {
      if (!vm.id().equals(self)) {
        listedIds.add(vm.id());
        addOrUpdatePeer(vm.id(), vm.peerAddress());
      }
    }
    listedVms.addAll(listedIds);
    listedVms.retainAll(listedIds);
    for (VmId connected : outgoing.keySet()) {
      if (!listedIds.contains(connected)) {
        removePeer(connected);
      }
    }
  }

  private void addOrUpdatePeer(VmId peer, SocketEndpoint endpoint) {
    outgoing.compute(
        peer,
        (id, existing) -> {
          if (existing != null) {
            existing.setEndpoint(endpoint);
            return existing;
          }
          return new OutgoingPeer(id, endpoint, settings, handshake, clock, eventLog, traffic);
        });
  }

  private void removePeer(VmId peer) {
    @Nullable OutgoingPeer removed = outgoing.remove(peer);
    if (removed != null) {
      removed.markRemoved();
      schedule(removed);
    }
  }

  private void schedule(OutgoingPeer peer) {
    if (peer.markPending()) {
      pendingPeers.add(peer);
      selector.wakeup();
    }
  }

  private void run() {
    long lastDeadlineCheckNanos = clock.monotonicNanos();
    while (!closed) {
      try {
        selector.select(DEADLINE_CHECK_MILLIS);
        Set<SelectionKey> selected = selector.selectedKeys();
        selected.forEach(this::handle);
        selected.clear();
      } catch (IOException e) {
        eventLog.record(EventLog.Level.WARNING, "peer_io_failed", LogField.of("error", e));
      }
      OutgoingPeer pending;
      while ((pending = pendingPeers.poll()) != null) {
        pending.connectOrWrite(selector);
      }
      if (clock.monotonicNanos() - lastDeadlineCheckNanos >= DEADLINE_CHECK_MILLIS * 1_000_000) {
        lastDeadlineCheckNanos = clock.monotonicNanos();
        outgoing.values().forEach(peer -> peer.checkDeadlines(selector));
        new ArrayList<>(incoming).forEach(IncomingPeer::checkDeadlines);
      }
    }
    closeAll();
  }

  private void handle(SelectionKey key) {
    if (!key.isValid()) {
      return;
    }
    if (key.attachment() instanceof SelectableConnection connection) {
      try {
        connection.onReady(key, readBuffer);
      } catch (IOException | RuntimeException e) {
        connection.fail(String.valueOf(e.getMessage()));
      }
    } else {
      accept();
    }
  }

  private void accept() {
    try {
      SocketChannel socket;
      while ((socket = server.accept()) != null) {
        if (incoming.size() >= settings.maximumIncomingConnections()) {
          traffic.recordDropped("connections", 1);
          socket.close();
          continue;
        }
        socket.configureBlocking(false);
        socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
        SelectionKey key = socket.register(selector, SelectionKey.OP_READ);
        IncomingPeer peer =
            new IncomingPeer(socket, key, incomingContext, new IncomingPeerListener());
        key.attach(peer);
        incoming.add(peer);
      }
    } catch (IOException e) {
      eventLog.record(EventLog.Level.WARNING, "peer_accept_failed", LogField.of("error", e));
    }
  }

  private void closeAll() {
    new ArrayList<>(incoming).forEach(peer -> peer.fail("this VM is shutting down"));
    outgoing.values().forEach(OutgoingPeer::close);
    try {
      server.close();
      selector.close();
    } catch (IOException e) {
      eventLog.record(EventLog.Level.DEBUG, "peer_close_failed", LogField.of("error", e));
    }
  }

  /**
   * Closes all connections and the listening socket and discards queued messages. Waits up to 2 s
   * for the I/O thread, so that the listen address can be bound again afterwards.
   */
  @Override
  public void close() {
    closed = true;
    selector.wakeup();
    if (!thread.isAlive()) {
      closeAll();
    } else if (Thread.currentThread() != thread) {
      awaitIoThread();
    }
  }

  private void awaitIoThread() {
    try {
      thread.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private final class IncomingPeerListener implements IncomingPeer.Listener {
    @Override
    public void onAuthenticated(IncomingPeer connection, VmId peer, SocketEndpoint endpoint) {
      // A VM that is not in the VM list yet must still receive replies.
      if (!listedVms.contains(peer)) {
        addOrUpdatePeer(peer, endpoint);
      }
      for (IncomingPeer other : new ArrayList<>(incoming)) {
        if (other != connection && peer.equals(other.sender())) {
          other.fail("replaced by a newer connection");
        }
      }
    }

    @Override
    public void onClosed(IncomingPeer connection) {
      incoming.remove(connection);
      VmId peer = connection.sender();
      boolean replaced =
          incoming.stream().anyMatch(other -> peer != null && peer.equals(other.sender()));
      if (peer != null && !listedVms.contains(peer) && !replaced) {
        removePeer(peer);
      }
    }
  }
}
