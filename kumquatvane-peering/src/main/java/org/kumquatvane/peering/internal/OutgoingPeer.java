package org.kumquatvane.peering.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.peering.PeerNetworkSettings;

/**
 * Connection on which this VM sends messages to another VM. Each direction between two VMs uses a
 * separate connection, so that the directions fail independently.
 *
 * <p>{@link #enqueue}, {@link #markPending}, {@link #setEndpoint} and {@link #markRemoved} may be
 * called by any thread; all other methods are confined to the I/O thread.
 */
public final class OutgoingPeer implements SelectableConnection {
  private enum State {
    IDLE,
    CONNECTING,
    HANDSHAKING,
    READY
  }

  private final VmId peer;
  private final PeerNetworkSettings settings;
  private final Handshake handshake;
  private final Clock clock;
  private final EventLog eventLog;
  private final TrafficCounters traffic;
  private final Queue<OutgoingFrame> queue = new ConcurrentLinkedQueue<>();
  private final AtomicLong queuedBytes = new AtomicLong();
  private final AtomicBoolean pending = new AtomicBoolean();
  private volatile SocketEndpoint endpoint;
  private volatile boolean removed;

  private State state = State.IDLE;
  private @Nullable SocketChannel socket;
  private @Nullable FrameChannel channel;
  private @Nullable OutgoingFrame frameInFlight;
  private @Nullable Hello hello;
  private @Nullable Deadline handshakeDeadline;
  private @Nullable Deadline acknowledgementDeadline;
  private Deadline nextAttempt;
  private int consecutiveFailures;

  /**
   * Creates a peer without a connection.
   *
   * @param peer the other VM
   * @param endpoint address on which it listens
   * @param settings limits and timeouts
   * @param handshake authenticates the connection
   * @param clock clock used for deadlines
   * @param eventLog receives state changes of the connection
   * @param traffic counts dropped messages
   */
  public OutgoingPeer(
      VmId peer,
      SocketEndpoint endpoint,
      PeerNetworkSettings settings,
      Handshake handshake,
      Clock clock,
      EventLog eventLog,
      TrafficCounters traffic) {
    this.peer = peer;
    this.endpoint = endpoint;
    this.settings = settings;
    this.handshake = handshake;
    this.clock = clock;
    this.eventLog = eventLog;
    this.traffic = traffic;
    nextAttempt = new Deadline(clock.monotonicNanos());
  }

  /**
   * Queues a frame unless the queue is full or the peer is removed. A queued frame is retained
   * until it is written or dropped.
   *
   * @param frame the frame
   * @return whether it was queued
   */
  public boolean enqueue(OutgoingFrame frame) {
    int bytes = frame.sizeBytes();
    if (removed || queuedBytes.addAndGet(bytes) > settings.sendBufferBytes()) {
      queuedBytes.addAndGet(removed ? 0 : -bytes);
      return false;
    }
    frame.retain();
    queue.add(frame);
    if (removed) {
      // The I/O thread may have emptied the queue for the last time before the frame was added.
      dropQueue();
    }
    return true;
  }

  /**
   * Marks this peer as pending for the I/O thread.
   *
   * @return true if it was not marked already
   */
  public boolean markPending() {
    return pending.compareAndSet(false, true);
  }

  /**
   * Changes the address of the peer, which applies from the next connection on.
   *
   * @param newEndpoint the new address
   */
  public void setEndpoint(SocketEndpoint newEndpoint) {
    endpoint = newEndpoint;
  }

  /** Requests that the I/O thread close the connection permanently. */
  public void markRemoved() {
    removed = true;
  }

  /**
   * Closes the connection if the peer is removed; otherwise connects or writes queued frames.
   *
   * @param selector the I/O thread's selector
   */
  public void connectOrWrite(Selector selector) {
    pending.set(false);
    if (removed) {
      fail("the peer was removed from the VM list");
      return;
    }
    try {
      if (state == State.READY) {
        writeQueue();
      } else if (state == State.IDLE && !queue.isEmpty() && nextAttempt.isReached(clock)) {
        connect(selector);
      }
    } catch (IOException | RuntimeException e) {
      fail(String.valueOf(e.getMessage()));
    }
  }

  /**
   * Closes the connection if the handshake or an acknowledgement timed out, then connects or writes
   * queued frames.
   *
   * @param selector the I/O thread's selector
   */
  public void checkDeadlines(Selector selector) {
    Deadline handshakeLimit = handshakeDeadline;
    Deadline acknowledgementLimit = acknowledgementDeadline;
    if (handshakeLimit != null && handshakeLimit.isReached(clock)) {
      fail("handshake timed out");
    } else if (acknowledgementLimit != null && acknowledgementLimit.isReached(clock)) {
      traffic.recordDropped("silent_connections", 1);
      fail("acknowledgement timed out");
    }
    connectOrWrite(selector);
  }

  @Override
  public void onReady(SelectionKey key, ByteBuffer readBuffer) throws IOException {
    if (key.isConnectable()) {
      startHandshake(key);
    }
    FrameChannel current = channel;
    if (current != null && key.isValid()) {
      if (key.isReadable()) {
        current.read(readBuffer, this::onFrame);
      }
      if (key.isValid() && key.isWritable()) {
        current.flush();
        if (state == State.READY) {
          writeQueue();
        }
      }
    }
  }

  private void connect(Selector selector) throws IOException {
    SocketChannel opened = SocketChannel.open();
    socket = opened;
    opened.configureBlocking(false);
    opened.setOption(StandardSocketOptions.TCP_NODELAY, true);
    handshakeDeadline = Deadline.after(clock, settings.handshakeTimeout());
    state = State.CONNECTING;
    opened.connect(new InetSocketAddress(endpoint.host(), endpoint.port()));
    opened.register(selector, SelectionKey.OP_CONNECT, this);
  }

  private void startHandshake(SelectionKey key) throws IOException {
    SocketChannel connecting = (SocketChannel) key.channel();
    connecting.finishConnect();
    key.interestOps(SelectionKey.OP_READ);
    // The peer sends only acknowledgements, which are never large.
    FrameChannel opened = new FrameChannel(connecting, key, new ByteBudget(0));
    Hello sentHello = handshake.createHello(peer);
    channel = opened;
    hello = sentHello;
    state = State.HANDSHAKING;
    opened.write(Handshake.encode(sentHello));
  }

  /** Handles a frame; after the handshake the peer sends only empty acknowledgement frames. */
  private void onFrame(byte[] body) throws IOException {
    Hello sentHello = hello;
    FrameChannel current = channel;
    if (state == State.READY) {
      acknowledgementDeadline = null;
    } else if (sentHello != null && current != null) {
      Challenge challenge = Handshake.decode(body, Challenge.class);
      current.write(Handshake.encode(handshake.createProof(sentHello, challenge)));
      state = State.READY;
      handshakeDeadline = null;
      consecutiveFailures = 0;
      eventLog.record(EventLog.Level.DEBUG, "peer_connected", LogField.of("peer", peer));
      writeQueue();
    }
  }

  private void writeQueue() throws IOException {
    FrameChannel current = channel;
    if (current != null && current.isFlushed()) {
      releaseFrameInFlight();
    }
    OutgoingFrame frame;
    while (current != null && current.isFlushed() && (frame = queue.poll()) != null) {
      queuedBytes.addAndGet(-frame.sizeBytes());
      releaseFrameInFlight();
      frameInFlight = frame;
      current.write(frame.view());
      if (current.isFlushed()) {
        releaseFrameInFlight();
      }
      if (acknowledgementDeadline == null) {
        acknowledgementDeadline = Deadline.after(clock, settings.acknowledgementTimeout());
      }
    }
  }

  private void releaseFrameInFlight() {
    OutgoingFrame frame = frameInFlight;
    if (frame != null) {
      frameInFlight = null;
      frame.release();
    }
  }

  @Override
  public void fail(String cause) {
    if (state == State.IDLE && !removed) {
      return;
    }
    close();
    dropQueue();
    nextAttempt = Deadline.after(clock, settings.minimumBackoff().plusNanos(backoffNanos()));
    consecutiveFailures++;
    eventLog.record(
        EventLog.Level.DEBUG,
        "peer_disconnected",
        LogField.of("peer", peer),
        LogField.of("cause", cause));
  }

  private void dropQueue() {
    long dropped = 0;
    OutgoingFrame frame;
    while ((frame = queue.poll()) != null) {
      queuedBytes.addAndGet(-frame.sizeBytes());
      frame.release();
      dropped++;
    }
    if (dropped > 0) {
      traffic.recordDropped("connection_lost", dropped);
    }
  }

  /**
   * Returns the delay added to the minimum backoff. It doubles with each consecutive failure, and
   * half of it is random, so that VMs do not reconnect simultaneously.
   */
  private long backoffNanos() {
    long longest = settings.maximumBackoff().minus(settings.minimumBackoff()).toNanos();
    long doubled = settings.minimumBackoff().toNanos() << Math.min(consecutiveFailures, 16);
    long bounded = consecutiveFailures == 0 ? 0 : Math.min(longest, doubled);
    return bounded / 2 + ThreadLocalRandom.current().nextLong(bounded / 2 + 1);
  }

  /** Closes the socket and discards the connection state; queued frames are kept. */
  public void close() {
    SocketChannel open = socket;
    releaseFrameInFlight();
    state = State.IDLE;
    socket = null;
    channel = null;
    hello = null;
    handshakeDeadline = null;
    acknowledgementDeadline = null;
    if (open != null) {
      try {
        open.close();
      } catch (IOException ignored) {
        // The connection is discarded in any case.
      }
    }
  }
}
