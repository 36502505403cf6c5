package org.kumquatvane.peering.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkerPool;
import org.kumquatvane.peering.PeerNetworkSettings;
import org.kumquatvane.peering.codec.Decoded;
import org.kumquatvane.peering.codec.MessageRegistry;

/**
 * A connection on which another VM sends to this one. Messages of one peer are handled in the order
 * of arrival, by one worker at a time.
 */
public final class IncomingPeer implements Connection {
  /** A worker handles this many messages of one peer before it lets other tasks run. */
  private static final int MESSAGES_PER_TASK = 32;

  private static final int EMPTY_FRAME_LENGTH = 0;

  private final FrameChannel channel;
  private final SelectionKey key;
  private final PeerNetworkSettings settings;
  private final Handshake handshake;
  private final MessageRegistry registry;
  private final PeerDispatcher dispatcher;
  private final WorkerPool workers;
  private final EventLog eventLog;
  private final TrafficCounters traffic;
  private final Listener listener;
  private final Deadline handshakeDeadline;
  private final Clock clock;
  private final Queue<PeerMessage> received = new ConcurrentLinkedQueue<>();
  private final AtomicInteger receivedCount = new AtomicInteger();

  private @Nullable Hello hello;
  private @Nullable Challenge challenge;
  private @Nullable VmId sender;
  private boolean acknowledgementDue;
  private Deadline nextAcknowledgement;
  private boolean closed;

  /**
   * Takes over an accepted connection.
   *
   * @param socket the connection
   * @param key its key at the I/O thread's selector
   * @param parts what all connections share
   * @param listener learns of authentication and of the end
   */
  public IncomingPeer(SocketChannel socket, SelectionKey key, Parts parts, Listener listener) {
    this.channel = new FrameChannel(socket, key);
    this.key = key;
    this.settings = parts.settings();
    this.handshake = parts.handshake();
    this.registry = parts.registry();
    this.dispatcher = parts.dispatcher();
    this.workers = parts.workers();
    this.eventLog = parts.eventLog();
    this.traffic = parts.traffic();
    this.clock = parts.clock();
    this.listener = listener;
    this.handshakeDeadline = Deadline.after(clock, settings.handshakeTimeout());
    nextAcknowledgement = new Deadline(clock.monotonicNanos());
  }

  @Override
  public void ready(SelectionKey selected, ByteBuffer scratch) throws IOException {
    if (selected.isReadable()) {
      channel.read(scratch, this::accept);
    }
    if (selected.isValid() && selected.isWritable()) {
      channel.flush();
    }
  }

  /**
   * Sends a due acknowledgement and closes a connection without a complete handshake.
   *
   * @return false once the connection is closed
   */
  public boolean sweep() {
    try {
      if (sender == null && handshakeDeadline.isReached(clock)) {
        fail("no complete handshake in time");
      } else if (acknowledgementDue
          && nextAcknowledgement.isReached(clock)
          && channel.isFlushed()) {
        acknowledgementDue = false;
        nextAcknowledgement = Deadline.after(clock, settings.acknowledgementInterval());
        channel.write(ByteBuffer.allocate(Integer.BYTES).putInt(EMPTY_FRAME_LENGTH).flip());
      }
    } catch (IOException e) {
      fail(String.valueOf(e.getMessage()));
    }
    return !closed;
  }

  /**
   * Returns the authenticated sender.
   *
   * @return the VM, null before the handshake is complete
   */
  public @Nullable VmId sender() {
    return sender;
  }

  private void accept(byte[] body) throws IOException {
    VmId known = sender;
    if (known != null) {
      acknowledgementDue = true;
      receive(known, body);
    } else if (hello == null) {
      Hello first = Handshake.decode(body, Hello.class);
      Challenge answer = handshake.challenge(first);
      hello = first;
      challenge = answer;
      channel.write(Handshake.encode(answer));
    } else {
      authenticate(hello, body);
    }
  }

  private void authenticate(Hello first, byte[] body) throws IOException {
    Challenge sent = challenge;
    if (sent == null) {
      throw new IOException("proof before the challenge");
    }
    handshake.verify(first, sent, Handshake.decode(body, Proof.class));
    VmId authenticated = new VmId(first.sender());
    sender = authenticated;
    channel.setFrameLimit(MessageRegistry.MAXIMUM_FRAME_BYTES);
    listener.authenticated(this, authenticated, SocketEndpoint.parse(first.endpoint()));
  }

  private void receive(VmId from, byte[] body) {
    Decoded decoded = registry.decode(body);
    if (decoded instanceof Decoded.Message known) {
      traffic.received(known.kind(), Integer.BYTES + body.length);
      enqueue(from, known.message());
    } else if (decoded instanceof Decoded.UnknownType) {
      traffic.received("unknown_type", Integer.BYTES + body.length);
    } else if (decoded instanceof Decoded.Malformed malformed) {
      traffic.dropped("malformed", 1);
      eventLog.record(
          EventLog.Level.WARNING,
          "peer_message_malformed",
          LogField.of("peer", from),
          LogField.of("detail", malformed.detail()));
    }
  }

  private void enqueue(VmId from, PeerMessage message) {
    int waiting = receivedCount.incrementAndGet();
    if (waiting > settings.receivedMessageCapacity()) {
      receivedCount.decrementAndGet();
      traffic.dropped("workers_busy", 1);
      return;
    }
    received.add(message);
    if (waiting == 1) {
      workers.resume(() -> handleSome(from));
    }
  }

  private void handleSome(VmId from) {
    int handled = 0;
    PeerMessage message;
    try {
      while (handled < MESSAGES_PER_TASK && (message = received.poll()) != null) {
        handled++;
        dispatcher.dispatch(from, message);
      }
    } finally {
      // The count reaches zero only here, so a new task starts only when none is left.
      if (receivedCount.addAndGet(-handled) > 0) {
        workers.resume(() -> handleSome(from));
      }
    }
  }

  @Override
  public void fail(String cause) {
    if (closed) {
      return;
    }
    closed = true;
    try {
      channel.close();
    } catch (IOException ignored) {
      // The connection is given up either way.
    }
    key.cancel();
    eventLog.record(
        EventLog.Level.DEBUG,
        "peer_connection_closed",
        LogField.of("peer", sender == null ? "unknown" : sender),
        LogField.of("cause", cause));
    listener.closed(this);
  }

  /**
   * What all incoming connections share.
   *
   * @param settings limits and times
   * @param handshake mutual challenge
   * @param registry codecs
   * @param dispatcher handles messages
   * @param workers runs the dispatcher
   * @param clock clock of the deadlines
   * @param eventLog receives faults
   * @param traffic counts messages
   */
  public record Parts(
      PeerNetworkSettings settings,
      Handshake handshake,
      MessageRegistry registry,
      PeerDispatcher dispatcher,
      WorkerPool workers,
      Clock clock,
      EventLog eventLog,
      TrafficCounters traffic) {}

  /** Learns of changes of a connection, on the I/O thread. */
  public interface Listener {
    /**
     * The other side proved that it knows the secret.
     *
     * @param connection the connection
     * @param peer the other VM
     * @param endpoint where it listens
     */
    void authenticated(IncomingPeer connection, VmId peer, SocketEndpoint endpoint);

    /**
     * The connection is closed.
     *
     * @param connection the connection
     */
    void closed(IncomingPeer connection);
  }
}
